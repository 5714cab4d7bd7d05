"""Plans a service's decode memory and prefill on one node, for all entry nodes."""
