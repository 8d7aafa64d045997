"""Membership among routers, by SWIM with Lifeguard's extensions."""
