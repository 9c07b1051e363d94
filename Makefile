# Targets for development; `make help` lists them.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := src
SOURCES := $(wildcard src tests bench examples deploy)
STAMP := $(VENV)/.installed

.PHONY: help env format check-format lint types imports unit test demo \
	bench fuzz spec binary

help:
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

env: $(STAMP) ## create the virtual environment from the lock file

$(STAMP): requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

format: env ## rewrite the sources with the formatter
	$(PYTHON) -m ruff format $(SOURCES)

check-format: env ## fail when the formatter would change a file
	$(PYTHON) -m ruff format --check $(SOURCES)

lint: env ## run flake8 with hacking
	$(PYTHON) -m flake8 $(SOURCES)

types: env ## run mypy
	$(PYTHON) -m mypy

imports: env ## check which package may import which
	$(VENV)/bin/lint-imports

unit: env ## run the tests
	$(PYTHON) -m tests

test: check-format lint types imports unit ## all of the above

spec: env ## check the specifications and their mutants with Spin
	$(PYTHON) spec/run.py

SECONDS ?= 60
SEED ?= 1
fuzz: env ## run the fuzzer for SECONDS from SEED
	$(PYTHON) -m tests.fuzz --seconds $(SECONDS) --seed $(SEED)

bench: env ## compare the policies with the baselines; ARGS are passed on
	$(PYTHON) -m bench.policy $(ARGS)

demo: env ## run the main job on stand-ins
	$(PYTHON) -m dogwoodquay demo $(ARGS)

# Unpacked at start to a memory file system; SHIV_ROOT names another one.
BINARY_ROOT ?= /dev/shm/dogwoodquay

binary: env ## build dist/dogwoodquay, one executable file
	mkdir -p dist
	$(VENV)/bin/shiv --quiet -c dogwoodquay -o dist/dogwoodquay \
		--root $(BINARY_ROOT) -p '/usr/bin/env -S python3 -IS' \
		--constraint requirements.lock .
