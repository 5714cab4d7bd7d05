"""Rate limits over all nodes together, divided into shares that holder nodes enforce."""
