"""Limits that endpoints name in their answers: what is known of them, and who may send."""
