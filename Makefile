BUILD ?= build
JOBS ?= $(shell nproc)
CTEST_ARGS ?=
PACKAGES = g++ cmake ninja-build libwebsockets-dev libssl-dev libthrift-dev prometheus-cpp-dev \
  libcxxopts-dev liblog4cplus-dev libboost-dev librapidcheck-dev libgtest-dev libbenchmark-dev \
  libxxhash-dev nlohmann-json3-dev spin
SOURCES = $(shell git ls-files '*.cpp' '*.h' | grep -v '^gen/')

.PHONY: all packages build run test sanitize fuzz format format-check lint model bench gen clean

all: build

# Installs what the build and the tests need; does nothing where it is all there.
packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $(PACKAGES); }

build: packages
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_ARGS) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

run: build
	$(BUILD)/testing/demo

# Leaves out the tests that KNOWN-RED.txt lists, and prints them.
test: build
	@! test -f KNOWN-RED.txt || { echo "Known to fail, not run:"; cat KNOWN-RED.txt; }
	ctest --test-dir $(BUILD) --output-on-failure -j 6 -E "$$(tools/known-red)" $(CTEST_ARGS)

# The whole test suite under the address and undefined-behaviour sanitizers.
sanitize:
	$(MAKE) test BUILD=build-sanitize \
	  CMAKE_ARGS="$(CMAKE_ARGS) -DSEQUOIAPIER_SANITIZE=ON -DSEQUOIAPIER_BENCHMARKS=OFF"

# A fixed number of inputs from a fixed seed for each parser of outside input (FUZZ_RUNS).
fuzz: packages
	JOBS=$(JOBS) testing/fuzz/run build-fuzz

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

# Files that were clean with the same headers, checks and packages are not linted again.
lint: build
	export LINT_STATE="$$( { git ls-files '*.h' | xargs cat; cat .clang-tidy CMakeLists.txt; \
	  dpkg -s $(PACKAGES) clang-tidy | grep '^Version'; } | sha256sum)"; \
	printf '%s\n' $(filter %.cpp,$(SOURCES)) | xargs -P $(JOBS) -n 1 tools/lint-file $(BUILD)

model: packages
	models/run

bench: build
	bench/run $(BUILD)

# Regenerates gen/ from api/; needs thrift-compiler. The result is committed.
gen:
	for schema in api/*.thrift; do thrift --gen cpp:no_skeleton -out gen $$schema; done

clean:
	rm -rf $(BUILD)
