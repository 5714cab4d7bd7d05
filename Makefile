# Two commands do all set-up on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

.PHONY: demo demo-serve test check bench capacity
demo: $(VENV)/ready
	$(RUN) -m saffronworks.standins.demo

demo-serve: $(VENV)/ready
	$(RUN) -m saffronworks.standins.demo --serve

check: $(VENV)/ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

test: check
	$(RUN) -m tools.run_tests

bench: $(VENV)/ready
	$(RUN) -m tools.bench

capacity: $(VENV)/ready
	$(RUN) -m tools.capacity
