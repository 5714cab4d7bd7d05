"""Keeps a node from reading more requests than it can serve in time."""
