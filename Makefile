# make demo   installs what is missing, builds, runs a fleet under load
# make test   builds with warnings as errors, checks format and lint, runs all tests
# make without  shows that the tests of the promises fail without their protections

BUILD := build
PACKAGES := g++ cmake ninja-build ccache patch clang-format clang-tidy \
  libboost-dev libboost-coroutine-dev libboost-context-dev libboost-thread-dev libboost-chrono-dev \
  libcereal-dev libcli11-dev libspdlog-dev libfmt-dev nlohmann-json3-dev \
  catch2 libtrompeloeil-cpp-dev libsodium-dev libxxhash-dev zlib1g-dev
SUDO := $(if $(filter 0,$(shell id -u)),,sudo)
JOBS := $(shell nproc)

.PHONY: demo test packages build format lint fuzz bench without

packages:
	$(SUDO) apt-get update
	DEBIAN_FRONTEND=noninteractive $(SUDO) apt-get install -y --no-install-recommends $(PACKAGES)

build:
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache
	ninja -C $(BUILD)

demo: packages build
	$(BUILD)/bin/redwing-demo

test: build format lint fuzz
	tools/run_tests $(BUILD)

format:
	git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	tools/lint $(BUILD) $(JOBS)

fuzz:
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DREDWING_SANITIZE=ON
	ninja -C $(BUILD)-sanitize redwing-fuzz
	$(BUILD)-sanitize/bin/redwing-fuzz --cases 20000

bench: build
	$(BUILD)/bin/redwing-bench

without: build
	tools/try_without $(BUILD)
