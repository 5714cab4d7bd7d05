"""Stand-ins for engines, plain services and the store, with a small site and its callers."""
