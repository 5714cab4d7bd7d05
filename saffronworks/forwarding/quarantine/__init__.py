"""Contents that end the endpoints which run them: known at all nodes, and sent to none any more."""
