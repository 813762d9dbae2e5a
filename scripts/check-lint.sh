#!/usr/bin/env bash
# Fails on any finding of clang-tidy. Needs the compile commands of a configured build/. A file whose
# text, settings and included headers have not changed since it was found clean is not checked again.
# With arguments: checks only those files.
set -euo pipefail
cd "$(dirname "$0")/.."
stamps=${XDG_CACHE_HOME:-$HOME/.cache}/azurewell-lint
mkdir -p "$stamps"
headers=$(git ls-files '*.h' .clang-tidy | xargs cat | sha256sum | cut -d' ' -f1)
lint_one() {
  local stamp
  stamp=$2/$( { echo "$3 $1"; cat "$1"; } | sha256sum | cut -d' ' -f1)
  [ -e "$stamp" ] && return 0
  clang-tidy -p build --quiet "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_one
if [ $# -gt 0 ]; then
  files=$(printf '%s\n' "$@")
else
  files=$(git ls-files '*.cpp' | grep -v '/generated/' | grep -vE '^(fuzz|examples/embed)/')
fi
xargs -P "$(nproc)" -I{} bash -c "lint_one {} $stamps $headers" <<<"$files"
echo "lint: clean"
