"""Enforces the quotas of organisations over all nodes together."""
