"""Adapter to the users' platform: its wire names are decoded here, and only here."""
