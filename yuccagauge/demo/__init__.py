"""A small fleet of processes on one machine, and a demonstration on it."""
