"""Decides whether an endpoint may be sent a request now, by what it advertises."""
