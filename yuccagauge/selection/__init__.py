"""Which backend server gets a call, when, and when a call is refused.

Everything here is pure state: it takes values and times and returns values.
"""
