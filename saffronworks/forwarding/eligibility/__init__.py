"""Whether this node may send an endpoint a request now, by what the endpoint advertises."""
