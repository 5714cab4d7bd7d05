"""One node plans a service's decode memory and reading for all: who is served next, who returns."""
