# SEED, SEEDS and VENV may be set on the command line: make bench-policy SEED=7
VENV ?= .venv
PYTHON := $(VENV)/bin/python
SEED ?= 1
SEEDS ?= 50

.PHONY: setup lint format test demo bench-policy bench-workloads bench-takeover check-core check-workloads fault-drill soak bench-capacity

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

setup: $(VENV)/.installed

lint: setup
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: setup
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

test: setup
	$(PYTHON) -m pytest

demo: setup
	$(PYTHON) -m tanagerpath.emulator.demo

bench-policy: setup
	$(PYTHON) -m tanagerpath.benchmarks.policy --seed $(SEED)

bench-workloads: setup
	$(PYTHON) -m tanagerpath.benchmarks.workload_replay --seed $(SEED)

bench-takeover: setup
	$(PYTHON) -m tanagerpath.benchmarks.takeover

check-core: setup
	$(PYTHON) -m tanagerpath.benchmarks.core_check --seeds $(SEEDS)

check-workloads: setup
	$(PYTHON) -m tanagerpath.benchmarks.workload_check --seeds $(SEEDS) --first $(SEED)

fault-drill: setup
	$(PYTHON) -m tanagerpath.emulator.drill

soak: setup
	$(PYTHON) -m tanagerpath.emulator.soak --seeds $(SEEDS) --first $(SEED)

bench-capacity: setup
	$(PYTHON) -m tanagerpath.benchmarks.capacity
