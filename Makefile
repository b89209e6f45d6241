# The two commands: `make run` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: run test check format clean

run: $(VENV)/run.stamp
	$(BIN)/python examples/run.py
	$(BIN)/python examples/entries.py

test: $(VENV)/test.stamp
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest

format: $(VENV)/test.stamp
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

$(VENV)/run.stamp: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

$(VENV)/test.stamp: $(VENV)/run.stamp requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(VENV) build *.egg-info
