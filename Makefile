# Every target creates what it needs on a fresh machine.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.requirements-installed
SOURCES := yuccagauge features

SECONDS ?= 120
SEED ?= 1

export PYTHONPATH := $(CURDIR)

.PHONY: demo test lint format model bench soak slopes venv

venv: $(STAMP)

$(STAMP): requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

test: $(STAMP) lint
	$(BIN)/python -m features.run

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(STAMP)
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

demo: $(STAMP)
	$(BIN)/yuccagauge demo

model: $(STAMP)
	$(BIN)/yuccagauge model

bench: $(STAMP)
	$(BIN)/yuccagauge bench

soak: $(STAMP)
	$(BIN)/yuccagauge soak --seconds=$(SECONDS) --seed=$(SEED)

slopes: $(STAMP)
	$(BIN)/yuccagauge slopes
