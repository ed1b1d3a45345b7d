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
	@python3 scripts/lint.py --build-dir $(BUILD_DIR) --jobs $(JOBS)

check: build format-check lint test

clean:
	rm -rf $(BUILD_DIR)

.PHONY: mutations
mutations: packages
	@scripts/run-mutations.sh

.PHONY: bench demo fuzz
# Runs the bench programs one after the other, since they would distort each
# other's figures in parallel.
bench: build
	@set -e; for program in $$(find $(BUILD_DIR)/bench -type f -name 'bench_*' -perm -u+x | sort); do \
	  echo "== $$(basename $$program)"; $$program; done

demo: build
	@python3 tests/demo/demo.py --build-dir $(BUILD_DIR)

# Runs the property tests with more cases: make fuzz SEED=7 RUNS=10000
fuzz: build
	@set -e; for program in $$(find $(BUILD_DIR)/tests -type f -name 'test_*' -perm -u+x | sort); do \
	  echo "== $$(basename $$program)"; \
	  RC_PARAMS="seed=$(SEED) max_success=$(RUNS)" $$program; done

PREFIX ?= /usr/local

# Installs the programs, unit file, manual pages and completion under PREFIX.
.PHONY: install
install: packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_INSTALL_PREFIX=$(PREFIX) >/dev/null
	@cmake --build $(BUILD_DIR) -j $(JOBS) --target bramleypathd bramleypath
	@cmake --install $(BUILD_DIR) --component Unspecified >/dev/null
	@echo "installed below $(PREFIX)"
