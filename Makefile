PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
ARGS ?=
# Processes that run the tests.
WORKERS ?= 4

.PHONY: demo test lint bench cost fuzz generate lock

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@

demo: $(VENV)/.installed
	@$(BIN)/trefoilhitch-lab demo $(ARGS)

test: lint
	$(BIN)/python -m pytest -n $(WORKERS) $(ARGS)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 trefoilhitch trefoilhitch_lab tools tests
	$(BIN)/mypy
	$(BIN)/lint-imports

bench: $(VENV)/.installed
	benchmarks/bench.sh $(ARGS)

cost: $(VENV)/.installed
	benchmarks/cost.sh $(ARGS)

fuzz: $(VENV)/.installed
	$(BIN)/python -m pytest tests/test_promotion_model.py --hypothesis-profile=fuzz $(ARGS)

generate: $(VENV)/.installed
	$(BIN)/python tools/generate.py

lock:
	pip-compile --quiet --generate-hashes --allow-unsafe --strip-extras --extra dev --no-header --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-emit-options --output-file requirements.lock pyproject.toml
