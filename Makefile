VENV := .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := src:.

.PHONY: demo test soak lint instance-cost bench bench-quick capacity fuzz binary schema format

$(VENV)/.installed: requirements/run.txt requirements/dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	touch $@

demo: $(VENV)/.installed
	$(PYTHON) -m tools.demo

test: $(VENV)/.installed
	$(PYTHON) -m pytest

lint: $(VENV)/.installed
	$(PYTHON) -m ruff check .
	$(PYTHON) -m black --check --quiet .
	$(PYTHON) -m mypy

format: $(VENV)/.installed
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m black --quiet .

bench: $(VENV)/.installed
	$(PYTHON) -m tools.bench

bench-quick: $(VENV)/.installed
	$(PYTHON) -m tools.bench --quick

BUILDS ?= .
instance-cost: $(VENV)/.installed
	sh deploy/build.sh
	$(PYTHON) -m tools.instance_cost $(BUILDS)

capacity: $(VENV)/.installed
	$(PYTHON) -m tools.capacity

fuzz: $(VENV)/.installed
	WAXWINGSHELF_FUZZ=long $(PYTHON) -m pytest tests/test_fleet_fuzz.py

binary: $(VENV)/.installed
	$(PYTHON) -m tools.binary

schema: $(VENV)/.installed
	$(PYTHON) -m tools.schema

SEEDS ?= $(shell seq 1 50)
soak: $(VENV)/.installed
	$(PYTHON) -m tests.soak.soak $(SEEDS)
	$(PYTHON) -m tests.soak.refusals $(SEEDS)
