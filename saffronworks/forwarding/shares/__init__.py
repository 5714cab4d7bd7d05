"""Bounds over the fleet: so much a second by all nodes together, kept in shares by holders."""
