#!/usr/bin/env bash
# Configures and builds into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset default >/dev/null
cmake --build build
