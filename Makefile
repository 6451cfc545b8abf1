# Build, test, lint and run. CI runs .ci/run.
.PHONY: build test sanitize lint format run clean

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
	clang-format --dry-run --Werror include/cometdeal/*.hpp src/*.?pp src/net/*.?pp tests/*.?pp
	printf "%s\n" src/main.cpp src/net/*.cpp | xargs -P4 -n1 clang-tidy --quiet -p build --extra-arg=-Wno-unknown-warning-option

format:
	clang-format -i include/cometdeal/*.hpp src/*.?pp src/net/*.?pp tests/*.?pp

# BALANCER_CONFIG names the configuration.
run: build
	build/cometdeal_mixer

clean:
	rm -rf build build-asan
