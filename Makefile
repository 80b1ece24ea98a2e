BUILD ?= build
PACKAGES = g++ cmake ninja-build clang-format clang-tidy python3 \
    librestinio-dev libasio-dev libfmt-dev libhttp-parser-dev \
    libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc \
    libabsl-dev libboost-dev libcxxopts-dev libeasyloggingpp-dev \
    nlohmann-json3-dev libcurl4-openssl-dev libssl-dev libxxhash-dev \
    libgtest-dev libgmock-dev libbenchmark-dev

.PHONY: all install build test demo bench format lint sanitize sanitize-threads clean

all: build

# Installs the packages that are missing.
install:
	tools/install.sh $(PACKAGES)

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release

build: install $(BUILD)/build.ninja
	ninja -C $(BUILD)

test: build lint
	tools/test.sh $(BUILD)

demo: build
	python3 tools/demo.py --build $(BUILD)

bench: build
	tools/bench.sh $(BUILD)

format:
	tools/sources.sh | xargs clang-format -i

lint:
	tools/lint.sh

sanitize: install
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	    -DPOMELOHINGE_SANITIZE=ON
	ninja -C $(BUILD)-sanitize
	ctest --test-dir $(BUILD)-sanitize --output-on-failure -j 4
	python3 soak/soak.py --build $(BUILD)-sanitize \
	    --run-dir $(BUILD)-sanitize/soak-run --seeds 4:1 --duration 16 --untimed

# The suite and the soak's seed of CI with ThreadSanitizer.
sanitize-threads: install
	cmake -S . -B $(BUILD)-threads -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	    -DPOMELOHINGE_SANITIZE_THREADS=ON
	ninja -C $(BUILD)-threads
	ctest --test-dir $(BUILD)-threads --output-on-failure -j 4
	python3 soak/soak.py --build $(BUILD)-threads \
	    --run-dir $(BUILD)-threads/soak-run --seeds 4:1 --duration 16 --untimed

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize $(BUILD)-threads
