"""Leases on the log, and orders to engines under their fences."""
