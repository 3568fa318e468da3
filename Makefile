PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo check setup test lint

demo: setup
	$(BIN)/python -m bench.demo

check: setup test

setup: $(VENV)/ready

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

test:
	$(BIN)/pytest

lint:
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
