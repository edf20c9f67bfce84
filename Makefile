PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test lint format generate ci clean

demo: $(STAMP)
	$(BIN)/python -m trefoilhinge demo $(ARGS)

test: $(STAMP)
	$(BIN)/python -m tests.run_all

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 trefoilhinge tests features benchmarks
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m trefoilhinge.conf.generator --check
	$(BIN)/python -m trefoilhinge.conf.reference --check

format: $(STAMP)
	$(BIN)/ruff format .

generate: $(STAMP)
	$(BIN)/python -m trefoilhinge.conf.generator
	$(BIN)/python -m trefoilhinge.conf.reference

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[develop]'
	touch $(STAMP)

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .ruff_cache .pytest_cache .import_linter_cache
