# Front door of the workspace; CMake does the work.
BUILD ?= build
ASAN  ?= build-asan
DESTDIR ?=
PREFIX ?= /usr/local

.PHONY: all deps build asan demo check check-units check-e2e lint format bench install clean wire deploy

all: build

deps:
	@tools/install-deps.sh

build: deps
	@[ -f $(BUILD)/build.ninja ] || cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

asan: deps
	@[ -f $(ASAN)/build.ninja ] || cmake -S . -B $(ASAN) -G Ninja -DCS_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug >/dev/null
	@cmake --build $(ASAN)

check: build asan
	@tools/run-tests.sh all $(BUILD) $(ASAN)

# The two parts of check, without a build.
check-units:
	@tools/run-tests.sh units $(BUILD) $(ASAN)

check-e2e:
	@tools/run-tests.sh e2e $(BUILD) $(ASAN)

demo: build
	@tools/demo.sh $(BUILD)

lint: build
	@tools/lint.sh $(BUILD)

format:
	@tools/lint.sh --format

bench: build
	@tools/bench.sh $(BUILD)

# Regenerates the committed protobuf-c code.
wire: deps
	@cd packages/wire && protoc-c --c_out=src -Iproto proto/*.proto && mv src/*.pb-c.h include/cs/ && sed -i 's,#include "\([a-z]*\).pb-c.h",#include "cs/\1.pb-c.h",' src/*.c include/cs/*.pb-c.h

# Builds in a clean copy as deploy/system.toml says, and lists its missing packages.
deploy: deps
	@tools/check-deploy.sh

install: build
	@DESTDIR=$(DESTDIR) cmake --install $(BUILD) --prefix $(PREFIX)

clean:
	rm -rf $(BUILD) $(ASAN)
