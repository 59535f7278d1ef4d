# Front for the CMake build. Every target installs the packages it needs on a fresh Debian machine.

BUILD_DIR ?= build
SANITIZE_DIR ?= build-sanitize
JOBS ?= $(shell nproc)
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := true

CMAKE_FLAGS := -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCMAKE_EXPORT_COMPILE_COMMANDS=ON

.PHONY: all packages build test unit-test testsuite demo lint format bench model-check sanitize soak abuse clean

all: build

packages:
	@src/build-scripts/install-packages.sh

build: packages
	@cmake -S . -B $(BUILD_DIR) $(CMAKE_FLAGS) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD_DIR) -j $(JOBS)

# Unit tests, then the end-to-end cases against the built programs.
test: build
	@python3 testsuite/runtest.py --build $(BUILD_DIR) --unit

unit-test: build
	@python3 testsuite/runtest.py --build $(BUILD_DIR) --unit --only-unit

demo: build
	@python3 testsuite/demo/run.py --build $(BUILD_DIR)

lint: build
	@src/build-scripts/lint.sh $(BUILD_DIR)

format:
	@git ls-files '*.cc' '*.h' | xargs clang-format -i

# Larger crowds of clients outside the limits than those of the test suite, at the limits of a deployment.
abuse: build
	@python3 testsuite/abuse/run.py --build $(BUILD_DIR) --large --verbose

bench: build
	@$(BUILD_DIR)/bin/corneltray_bench --json bench-results.json
	@python3 bench/process_slopes.py --build $(BUILD_DIR)
	@python3 bench/recovery.py --build $(BUILD_DIR)

model-check: packages
	@spec/check.sh

# Runs the unit tests under the address and undefined-behaviour sanitizers.
sanitize: packages
	@cmake -S . -B $(SANITIZE_DIR) $(CMAKE_FLAGS) -DCMAKE_BUILD_TYPE=Debug -DCORNELTRAY_SANITIZE=ON >/dev/null
	@cmake --build $(SANITIZE_DIR) -j $(JOBS)
	@python3 testsuite/runtest.py --build $(SANITIZE_DIR) --unit --only-unit

clean:
	@rm -rf $(BUILD_DIR) $(SANITIZE_DIR)
