"""Quotas of organisations over all nodes: who counts, who is admitted, what a node does alone."""
