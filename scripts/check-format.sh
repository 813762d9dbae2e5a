#!/usr/bin/env bash
# Fails if a source file is not formatted with clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | grep -v '/generated/' | xargs clang-format --dry-run --Werror
echo "format: clean"
