PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
# Processes that run tests: most tests wait for timers of nodes.
TEST_JOBS ?= 4

.PHONY: demo test bench model lint generate clean

$(STAMP): constraints.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m bench.generate --check

# Tests of processes under load run one at a time.
test: lint
	$(BIN)/python -m pytest -n $(TEST_JOBS) -m "not alone"
	$(BIN)/python -m pytest -m alone

bench: $(STAMP)
	$(BIN)/python -m bench.run $(SECTIONS)

model: $(STAMP)
	$(BIN)/python -m spec.check

generate: $(STAMP)
	$(BIN)/python -m bench.generate

clean:
	rm -rf $(VENV) results build *.egg-info
