"""Server selection: send a call to a backend server, delay it, or refuse it.

The package does no I/O and reads no clock: callers pass in values and times.
"""
