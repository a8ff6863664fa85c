#!/usr/bin/env bash
# Builds everything, checks format and lint, and runs all tests, then the unit
# tests once more with the address and undefined-behaviour sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet
scripts/check_format.sh
scripts/lint.sh build
cmake -S . -B build-sanitize -G Ninja -DCOMFREYSPRING_SANITIZE=ON \
  -DCOMFREYSPRING_UNIT_TESTS_ONLY=ON >/dev/null
ninja -C build-sanitize --quiet
scripts/run_tests.sh build-sanitize "$(nproc)"
scripts/run_tests.sh build 4
