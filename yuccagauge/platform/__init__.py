"""The adapter to the platform: its names, formats and calls.

Nothing outside this folder knows them, and nothing in it decides.
"""
