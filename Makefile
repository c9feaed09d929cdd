# Every target uses the virtual environment in .venv, installed from requirements.txt.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: install test lint format demo measure slopes soak takeover recovery clean

install: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src features deploy
	$(VENV)/bin/ruff check src features deploy

format: $(STAMP)
	$(VENV)/bin/ruff format src features deploy
	$(VENV)/bin/ruff check --fix src features deploy

test: lint
	$(PY) -m daisyfall_standins.verdict features

demo: $(STAMP)
	$(PY) -m daisyfall_standins.demo

measure: $(STAMP)
	$(PY) -m daisyfall_standins.measure $(ARGS)

slopes: $(STAMP)
	$(PY) -m daisyfall_standins.slopes $(ARGS)

soak: $(STAMP)
	$(PY) -m daisyfall_standins.soak $(ARGS)

takeover: $(STAMP)
	$(PY) -m daisyfall_standins.takeover $(ARGS)

recovery: $(STAMP)
	$(PY) -m daisyfall_standins.recovery $(ARGS)

clean:
	rm -rf $(VENV) build src/*.egg-info .ruff_cache .hypothesis
