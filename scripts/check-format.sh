#!/usr/bin/env bash
# Fails where a source file is not as clang-format leaves it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | grep -v '/generated/' | xargs clang-format --dry-run --Werror
echo "format: clean"
