"""Bringing engines to the newest weights: one router gives the orders."""
