# Each target sets up the virtual environment first when it is missing.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
READY = $(VENV)/.ready

.PHONY: docs demo test check format soak bench bench-relay capacity clean

$(READY): requirements.txt requirements-run.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m lab.demo

test: $(READY)
	$(BIN)/python -m tests

check: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

docs: $(READY)
	$(BIN)/python -m lab.catalogue

SEEDS ?= 1-50
soak: $(READY)
	$(BIN)/python -m lab.soak --seeds $(SEEDS)

bench: $(READY)
	$(BIN)/python -m lab.bench

bench-relay: $(READY)
	$(BIN)/python -m lab.bench_relay

capacity: $(READY)
	$(BIN)/python -m lab.capacity

clean:
	rm -rf .venv .work .mypy_cache .ruff_cache
	find . -name __pycache__ -prune -exec rm -rf {} +
