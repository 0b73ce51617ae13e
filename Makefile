PACKAGES := model policy wire platform entry agent cli standins
VENV := .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/ready

SEED ?= 1

.PHONY: demo test lint bench graphs slopes speed binary soak upgrade

$(READY): requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements-dev.txt
	$(PYTHON) -m pip install -q --no-build-isolation --no-deps \
		$(foreach package,$(PACKAGES),-e packages/$(package))
	touch $(READY)

demo: $(READY)
	$(PYTHON) -m samphiredeal.standins.demo
	$(PYTHON) -m samphiredeal.standins.graph_demo

test: $(READY)
	$(PYTHON) -m pytest
	$(PYTHON) tests/known_red.py

soak: $(READY)
	$(PYTHON) -m samphiredeal.standins.soak $(SEED)

upgrade: $(READY)
	$(PYTHON) -m samphiredeal.standins.upgrade $(OTHER) --seed $(SEED) \
		$(if $(LANDING),--landing $(LANDING))

lint: $(READY)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

bench: $(READY)
	$(PYTHON) -m bench.main

graphs: $(READY)
	$(PYTHON) -m bench.graphs

slopes: $(READY)
	$(PYTHON) -m bench.slopes

binary: $(READY)
	rm -rf build/wheels && mkdir -p build/wheels dist
	$(PYTHON) -m pip wheel -q --no-build-isolation --no-deps -w build/wheels \
		$(foreach package,$(filter-out standins,$(PACKAGES)),./packages/$(package))
	$(VENV)/bin/pex -r requirements.txt build/wheels/*.whl \
		-c samphiredeal -o dist/samphiredeal
	cd / && $(CURDIR)/dist/samphiredeal --version

speed: $(READY)
	$(PYTHON) -m bench.speed
