# A thin front to CMake. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = cmake g++ make pkg-config clang-format clang-tidy libboost-dev \
  libcriterion-dev libcxxopts-dev libcxxtools-dev libeasyloggingpp-dev \
  libmsgpack-cxx-dev libnghttp2-dev libxxhash-dev libbenchmark-dev
APT = $(if $(filter 0,$(shell id -u)),,sudo )apt-get

.PHONY: help deps build demo

help:
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*##/\t/'

deps: ## install the packages that the build needs
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { $(APT) update -q && \
	  DEBIAN_FRONTEND=noninteractive $(APT) install -y -q $(PACKAGES); }

build: deps ## build everything
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j$(JOBS)

demo: build ## run a small Khuree on loopback
	@$(BUILD)/testsuite/demo
