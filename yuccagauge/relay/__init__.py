"""Forwards opaque calls from callers to backend servers."""
