PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*)
SEED ?= 1
SECONDS ?= 60
RUNS ?= 1

.PHONY: setup test fix types docs demo up soak bench capacity explore process-soak

$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt hatchling editables wheel pbr
	$(BIN)/pip install --quiet --constraint constraints.txt --no-build-isolation \
	  $(foreach p,$(PACKAGES),--editable $(p)) --requirement requirements-dev.txt
	touch $@

setup: $(VENV)/.ready

# Tests of real processes run alone: a start takes most of a second of a processor, and
# beside busy workers processes miss the bounds of their starts and stops.
test: setup
	$(BIN)/ruff format --check deploy packages platform tests
	$(BIN)/ruff check deploy packages platform tests
	PYTHONPATH=platform $(BIN)/lint-imports
	$(BIN)/mypy $(wildcard packages/*/src) platform/fleet_platform deploy/build.py
	HYPOTHESIS_PROFILE=ci $(BIN)/python -m pytest -n 6 --dist loadgroup -m "not processes"
	HYPOTHESIS_PROFILE=ci $(BIN)/python -m pytest -m processes

docs: setup
	$(BIN)/python -m chicoryweir_daemon.eventdocs

types: setup
	$(BIN)/mypy $(wildcard packages/*/src) platform/fleet_platform deploy/build.py

fix: setup
	$(BIN)/ruff check --fix deploy packages platform tests
	$(BIN)/ruff format deploy packages platform tests

demo: setup
	$(BIN)/python -m chicoryweir_standins demo

up: setup
	exec $(BIN)/python -m chicoryweir_standins up

soak: setup
	$(BIN)/python -m chicoryweir_standins soak --seed $(SEED) --seconds $(SECONDS)

process-soak: setup
	PYTHONPATH=tests/support:platform $(BIN)/python -m processsoak \
	  --seed $(SEED) --runs $(RUNS) $(if $(LARGE),--large)

explore: setup
	$(BIN)/python -m chicoryweir_standins explore --seed $(SEED) --seconds $(SECONDS)

bench: setup
	$(BIN)/python -m chicoryweir_standins bench

capacity: setup
	$(BIN)/python -m chicoryweir_standins capacity
