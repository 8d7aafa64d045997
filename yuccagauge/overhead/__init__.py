"""Measures what a router adds to calling an engine directly."""
