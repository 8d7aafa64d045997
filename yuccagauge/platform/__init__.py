"""The adapter to the platform: its names, data formats and HTTP calls.

No other package uses these names and formats, and this package makes no
decisions.
"""
