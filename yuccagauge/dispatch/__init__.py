"""Attempts, streams, verdicts, retries and hedging of one call."""
