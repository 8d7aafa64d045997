"""The path of opaque calls from callers to backend servers."""
