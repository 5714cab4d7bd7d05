"""The owner of a cell: its scheduler, the scheduler state, and the service that runs it."""
