# Wrapper around CMake. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = cmake g++ make pkg-config clang-format clang-tidy libboost-dev \
  libcriterion-dev libcxxopts-dev libcxxtools-dev libeasyloggingpp-dev \
  libmsgpack-cxx-dev libnghttp2-dev libssl-dev libxxhash-dev libzstd-dev \
  rapidjson-dev libbenchmark-dev
APT = $(if $(filter 0,$(shell id -u)),,sudo )apt-get

.PHONY: help deps build demo test lint embed sanitize bench-latency \
  fault-matrix bench-fleet capacity

help:
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*##/\t/'

deps: ## install the packages that the build needs
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { $(APT) update -q && \
	  DEBIAN_FRONTEND=noninteractive $(APT) install -y -q $(PACKAGES); }

build: deps ## build everything
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j$(JOBS)

demo: build ## run eight nodes under load on loopback
	@$(BUILD)/testsuite/demo

test: build lint embed ## run every test, formatter, linter and the example
	@cd $(BUILD) && ctest --output-on-failure
	@sed -n 's/^[^#]/known red: &/p' KNOWN-RED.txt

lint: build ## check format, lint, package dependencies and file sizes
	@etc/lint.sh $(BUILD)

embed: build ## install to out/ and build the example against it
	@cmake --install $(BUILD) --prefix out/install >/dev/null
	@cmake -S examples/embed -B out/embed \
	  -DCMAKE_PREFIX_PATH=$(CURDIR)/out/install >/dev/null
	@cmake --build out/embed >/dev/null
	@out/embed/embed

sanitize: deps ## run the tests under sanitizers
	@for kind in address,undefined thread; do \
	  cmake -S . -B build-$$kind -DCMAKE_BUILD_TYPE=Debug \
	    -DYUCCAMAST_SANITIZE=$$kind >/dev/null && \
	  cmake --build build-$$kind -j$(JOBS) && \
	  (cd build-$$kind && ctest --output-on-failure) || exit 1; done

fault-matrix: build ## inject every fault at every step, then pairs of faults
	@mkdir -p out
	@$(BUILD)/testsuite/fault_matrix --pairs $(or $(PAIRS),200) \
	  --seed $(or $(SEED),1) --table out/faults.md

bench-fleet: build ## measure membership and configuration at 10 to 150 nodes
	@$(BUILD)/testsuite/fleet_bench $(NODES)

capacity: build ## measure slopes of processor time and memory
	@$(BUILD)/testsuite/capacity

bench-latency: build ## measure latency that two nodes add to direct calls
	@$(BUILD)/testsuite/latency
