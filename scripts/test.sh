#!/usr/bin/env bash
# Installs what is needed, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
ctest --test-dir build --output-on-failure -j "$(nproc)" "$@"
