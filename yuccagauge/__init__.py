"""A router for language-model traffic with long shared prompts."""

__version__ = '0.1.0'
