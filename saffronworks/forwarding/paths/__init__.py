"""Network paths from this node to endpoints."""
