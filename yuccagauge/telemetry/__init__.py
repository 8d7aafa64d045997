"""Metrics and log lines for state changes."""
