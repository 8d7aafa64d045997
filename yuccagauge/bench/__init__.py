"""Benchmark of the decision classes on a virtual clock."""
