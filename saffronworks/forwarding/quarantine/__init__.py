"""Quarantine of request contents that crash the endpoints which run them."""
