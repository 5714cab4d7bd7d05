"""Which service and software version began each stream that a caller may resume."""
