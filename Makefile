# the two commands a newcomer needs: `make demo` and `make test`
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test bench soak docs format lint

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/lavenderbend demo

test: $(STAMP)
	$(BIN)/python -m pytest -n 6 --dist worksteal -m "not alone"
	$(BIN)/python -m pytest -m alone

bench: $(STAMP)
	$(BIN)/python -m bench

soak: $(STAMP)
	$(BIN)/python -m tests.integration.soak --seed $(or $(SEED),1)

docs: $(STAMP)
	$(BIN)/python -m sphinx -q -W -b html docs docs/_build/html

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports
