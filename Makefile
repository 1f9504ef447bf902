# Every target sets up what it needs; only Python 3.11 and make are assumed.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/verbenahall packages/verbenactl packages/standins
JOBS ?= 4
SEED ?= 1

.PHONY: setup test lint format demo explore bench share soak clean

setup: $(STAMP)

$(STAMP): constraints.txt dev-requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt setuptools wheel
	$(BIN)/python -m pip install --quiet --constraint constraints.txt \
		--no-build-isolation --requirement dev-requirements.txt \
		$(addprefix --editable ,$(PACKAGES))
	touch $(STAMP)

test: $(STAMP)
	HYPOTHESIS_PROFILE=ci $(BIN)/python -m pytest -q -n $(JOBS) \
		--dist loadfile -m 'not crowd'
	$(BIN)/python -m pytest -q -m crowd

explore: $(STAMP)
	HYPOTHESIS_PROFILE=explore $(BIN)/python -m pytest -q -n $(JOBS) \
		--dist loadfile --hypothesis-seed=$(SEED) -m 'not process and not crowd'

lint: $(STAMP)
	$(BIN)/python -m ruff format --check packages
	$(BIN)/python -m flake8 packages

format: $(STAMP)
	$(BIN)/python -m ruff format packages

demo: $(STAMP)
	$(BIN)/python -m verbenahall_standins.demo

bench: $(STAMP)
	$(BIN)/python -m verbenahall_standins.bench --seed $(SEED)

# Number of seeds that the soak runs, from SEED on; 20 seconds each.
SEEDS ?= 12

soak: $(STAMP)
	$(BIN)/python -m verbenahall_standins.soak $(SEED) $(SEEDS)

share: $(STAMP)
	$(BIN)/python -m verbenahall_standins.share

clean:
	rm -rf $(VENV) run reports
