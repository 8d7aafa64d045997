"""Exhaustive checks of the protocols, to stated bounds."""
