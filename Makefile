# Build, test, lint and run. CI runs .ci/run.
SOURCES = $(shell find bench fuzz include src tests -name "*.?pp")

.PHONY: build test sanitize lint check soak long-soak long-flood bench fuzz format run clean

build:
	cmake -B build -DCOMETDEAL_WERROR=ON -DCOMETDEAL_TESTS=ON
	cmake --build build -j4

test: build
	ctest --test-dir build --output-on-failure -j4

sanitize:
	cmake -B build-asan -DCMAKE_BUILD_TYPE=Debug -DCOMETDEAL_SANITIZE=ON -DCOMETDEAL_WERROR=ON
	cmake --build build-asan -j4
	ctest --test-dir build-asan --output-on-failure -j4

lint: build
	clang-format --dry-run --Werror $(SOURCES)
	find src -name '*.cpp' ! -name aggregator.cpp ! -path 'src/wire/*' | xargs -P4 -n1 clang-tidy --quiet -p build --extra-arg=-Wno-unknown-warning-option

# Runs the model checker at a larger size than CI does. Exit status 3: a limit stopped it early.
check: build
	build/cometdeal check --size medium

# 20,000 mixed gRPC calls under faults; CTest runs 3,000.
soak: build
	build/cometdeal_grpc_test soak 20000 1

# Real processes under random, overlapping faults, one run of 12 s for each seed. CTest runs a short one.
SOAK_SEEDS ?= $(shell seq 1 50)
long-flood: build
	for seed in $(SOAK_SEEDS); do build/cometdeal_flood random --seed $$seed --seconds 10 || exit 1; done

long-soak: build
	for seed in $(SOAK_SEEDS); do build/cometdeal_soak random --seed $$seed --seconds 12 || exit 1; done

# The overhead of the mixer on gRPC calls, as ratios measured in one run.
bench: build
	cmake --build build -j4 --target cometdeal_grpc_bench
	build/cometdeal_grpc_bench

# Fuzzes each parser for FUZZ_SECONDS. New inputs are written to build-fuzz/found; copy those worth keeping to
# fuzz/corpus.
FUZZ_SECONDS ?= 600
fuzz:
	cmake -B build-fuzz -DCMAKE_CXX_COMPILER=clang++ -DCOMETDEAL_FUZZ=ON -DCOMETDEAL_TESTS=OFF -DCOMETDEAL_TOOL=OFF
	cmake --build build-fuzz -j4
	for t in http frame list query call config; do mkdir -p build-fuzz/found/$$t && build-fuzz/cometdeal_fuzz_$$t \
	  -max_total_time=$(FUZZ_SECONDS) -max_len=70000 build-fuzz/found/$$t fuzz/corpus/$$t || exit 1; done

format:
	clang-format -i $(SOURCES)

# Requires BALANCER_CONFIG, the path of the configuration file.
run: build
	build/cometdeal_mixer

clean:
	rm -rf build build-asan
