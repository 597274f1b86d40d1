PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
LIBS = core wire process share store control router agent gateway standins cli bench
FOLDERS = $(LIBS:%=libs/%) platform
export PYTHONPATH = $(subst $(eval ) ,:,$(FOLDERS:%=$(CURDIR)/%/src))

.PHONY: setup demo test soak lint format proto build bench clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(FOLDERS:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-deps $(FOLDERS:%=-e %)
	touch $@

demo: setup
	$(BIN)/python examples/demo.py

test: setup
	$(BIN)/python -m pytest

# Runs for a few minutes with random seeds; see tests/adapter/soak.py.
soak: setup
	cd tests/adapter && PYTHONPATH=..:$(PYTHONPATH) ../../$(BIN)/python soak.py --seeds 6

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

proto: setup
	cd libs/wire/src && ../../../$(BIN)/python -m grpc_tools.protoc -I . \
	  --plugin=protoc-gen-grpclib_python=../../../$(BIN)/protoc-gen-grpclib_python \
	  --python_out=. --grpclib_python_out=. bulrushbend/wire/fleet.proto
	cd libs/wire/src && ../../../$(BIN)/python -m grpc_tools.protoc -I . \
	  --python_out=. bulrushbend/wire/control.proto

build: setup
	./tools/build.sh

bench: setup
	$(BIN)/python -m bulrushbend.bench.main all

clean:
	rm -rf $(VENV) build dist run
