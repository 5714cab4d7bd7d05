"""The owner of a cell: its deciding cores, their state, and the service that runs them."""
