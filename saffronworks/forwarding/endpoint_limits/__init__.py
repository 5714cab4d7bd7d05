"""Enforces, over all nodes together, the rate limits that endpoints advertise."""
