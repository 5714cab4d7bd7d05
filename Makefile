# Two commands do all set-up on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

.PHONY: demo demo-serve test check bench capacity soak soak-failed
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

# Ten seeds that nobody has seen, unless FIRST names the first one.
FIRST ?= $(shell date +%s)
SEEDS ?= 10

soak: $(VENV)/ready
	$(RUN) -m saffronworks.tests.soak --first=$(FIRST) --seeds=$(SEEDS)

soak-failed: $(VENV)/ready
	$(RUN) -m saffronworks.tests.soak --failed

bench: $(VENV)/ready
	$(RUN) -m tools.bench

capacity: $(VENV)/ready
	$(RUN) -m tools.capacity
