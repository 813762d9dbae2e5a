#!/usr/bin/env bash
# run_commands.sh BUILD SOURCE: runs each ```sh block of the operators' pages, in order, against the
# quickstart's stand-ins and hosts. A block that fails fails the test. Blocks marked ```text are not run.
set -euo pipefail
build=$1
source=$2
exec 9>"${TMPDIR:-/tmp}/azurewell-quickstart.lock"
flock 9 # the quickstart's ports are fixed
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
cp -r "$source/examples" "$source/charts" "$work/"
cd "$work"
export PATH="$build/programs/azurewelld:$build/programs/azurewellctl:$PATH"
export AZUREWELL_KEY=quickstart-key
"$build/standins/azurewell-standins" --settings examples/quickstart/standins.json >standins.log 2>&1 9>&- &
pids+=($!)
for host in h1 h2; do
  azurewelld --settings "examples/quickstart/$host.json" >"$host.log" 2>&1 9>&- &
  pids+=($!)
done
for port in 19091 19092; do
  for _ in $(seq 1 200); do
    curl -sf -o /dev/null "http://127.0.0.1:$port/readyz" && break
    sleep 0.1
  done
done
count=0
for page in "$source"/docs/OPERATING.md "$source"/docs/TICKETS.md "$source"/docs/METRICS.md; do
  [ -e "$page" ] || continue
  awk '/^```sh$/ {on = 1; n++; next} /^```/ {on = 0} on {print > ("block-" n ".sh")}' "$page"
  for block in $(ls block-*.sh 2>/dev/null | sort -V); do
    count=$((count + 1))
    if ! bash -euo pipefail "$block" >block.log 2>&1; then
      echo "$(basename "$page"): this block fails:" >&2
      cat "$block" block.log >&2
      exit 1
    fi
  done
  rm -f block-*.sh
done
echo "$count blocks ran"
[ "$count" -gt 0 ]
