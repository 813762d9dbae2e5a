#!/usr/bin/env bash
# Fails on any finding of clang-tidy. Needs the compile commands of a configured build/. A file is not checked
# again while everything that its check depends on is as it was when it was found clean: its preprocessed text
# with all macros, the linter's version and settings, and the comments that the linter reads.
# With arguments: checks only those files.
set -euo pipefail
cd "$(dirname "$0")/.."
stamps=${XDG_CACHE_HOME:-$HOME/.cache}/azurewell-lint
mkdir -p "$stamps"
read_comments='NOLINT|/\*[^*]*=\*/'
settings=$( {
  cat .clang-tidy
  clang-tidy --version
  git ls-files '*.h' | xargs grep -hE "$read_comments" || true
} | sha256sum)
commands=$(mktemp)
trap 'rm -f "$commands"' EXIT
python3 - >"$commands" <<'PYTHON'
import json, os, shlex

for entry in json.load(open("build/compile_commands.json")):
    words = shlex.split(entry["command"])
    if os.path.basename(words[0]) == "ccache":
        words = words[1:]
    output = words.index("-o")
    del words[output:output + 2]
    print(os.path.relpath(entry["file"]), shlex.join(words + ["-E", "-P", "-dD"]), sep="\t")
PYTHON
lint_one() {
  local command text stamp
  command=$(awk -F'\t' -v file="$1" '$1 == file { print $2; exit }' "$commands")
  text=$(set -o pipefail; eval "${command:-false}" 2>/dev/null | sed "s#$PWD/##g" | sha256sum) || text=
  stamp=$stamps/$( { echo "$settings $1 $text"; grep -hE "$read_comments" "$1" || true; } | sha256sum | cut -d' ' -f1)
  [ -n "$text" ] && [ -e "$stamp" ] && return 0
  clang-tidy -p build --quiet "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_one
export stamps read_comments settings commands
if [ $# -gt 0 ]; then
  files=$(printf '%s\n' "$@")
else
  files=$(git ls-files '*.cpp' | grep -v '/generated/' | grep -vE '^(fuzz|examples/embed)/')
fi
xargs -P "$(nproc)" -I{} bash -c 'lint_one {}' <<<"$files"
echo "lint: clean"
