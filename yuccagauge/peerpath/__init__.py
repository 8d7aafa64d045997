"""Connections to backend servers that a peer carries."""
