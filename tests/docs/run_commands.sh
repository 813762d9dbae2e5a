#!/usr/bin/env bash
# run_commands.sh BUILD SOURCE: runs each ```sh block of the operator pages, in order, against the
# stand-ins and hosts of the quickstart. The test fails if a block fails. Blocks marked ```text are not run.
set -euo pipefail
build=$1
source=$2
source "$source/scripts/quickstart-fleet.sh"
work=$(mktemp -d)
trap 'stop_fleet; rm -rf "$work"' EXIT
cp -r "$source/examples" "$source/charts" "$work/"
cd "$work"
export PATH="$build/programs/azurewelld:$build/programs/azurewellctl:$PATH"
export AZUREWELL_KEY=quickstart-key
start_fleet "$build" "$work"
count=0
for page in "$source"/docs/OPERATING.md "$source"/docs/TICKETS.md "$source"/docs/METRICS.md; do
  [ -e "$page" ] || continue
  awk '/^```sh$/ {on = 1; n++; next} /^```/ {on = 0} on {print > ("block-" n ".sh")}' "$page"
  for block in $(ls block-*.sh 2>/dev/null | sort -V); do
    count=$((count + 1))
    if ! bash -euo pipefail "$block" >block.log 2>&1; then
      echo "$(basename "$page"): a block failed:" >&2
      cat "$block" block.log >&2
      exit 1
    fi
  done
  rm -f block-*.sh
done
echo "$count blocks were run"
[ "$count" -gt 0 ]
