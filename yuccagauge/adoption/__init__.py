"""Determines which version of each service document is in force."""
