BUILD_DIR ?= build
JOBS ?= $(shell nproc)
SEED ?= 1
RUNS ?= 1000

# Lets several checkouts of this repository share compiler cache entries.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: packages configure build test format format-check lint check clean

packages:
	@scripts/install-packages.sh

configure: packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null

build: configure
	@cmake --build $(BUILD_DIR) -j $(JOBS)

test: build
	@cd $(BUILD_DIR) && ctest --output-on-failure -j $(JOBS)

format:
	@scripts/format.sh

format-check:
	@scripts/format.sh --check

lint: configure
	@scripts/lint.sh $(BUILD_DIR) $(JOBS)

check: build format-check lint test

clean:
	rm -rf $(BUILD_DIR)

.PHONY: mutations
mutations: packages
	@scripts/run-mutations.sh
