#!/usr/bin/env bash
# Builds the project, starts stand-ins and two hosts on this machine, sends a streamed request and a
# filing, prints the answers, and stops all processes it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh >/dev/null

source scripts/quickstart-fleet.sh
logs=$(mktemp -d)
trap 'stop_fleet; rm -rf "$logs"' EXIT
start_fleet "$PWD/build" "$logs" || { cat "$logs"/*.log >&2; exit 1; }
sleep 2 # a new host's share of a rate starts empty

key=quickstart-key
echo "== a streamed request for routes@3 through host h1"
answer=$(curl -sS -N http://127.0.0.1:18081/v1/completions -H "Authorization: Bearer $key" \
  -H 'Content-Type: application/json' \
  -d '{"model":"routes@3","stream":true,"max_tokens":5,"prompt":"Justify the route over the Alto de La Linea."}')
echo "$answer"
[ "$(grep -c '"model":"routes@3"' <<<"$answer")" -eq 5 ]
grep -q 'data: \[DONE\]' <<<"$answer"

echo "== a filing through host h2"
answer=$(curl -sS -i http://127.0.0.1:18082/services/filings/notices -H "Authorization: Bearer $key" \
  -H 'Content-Type: application/json' -d '{"notice":"transformer, 92 t"}')
echo "$answer"
grep -q '"run":1' <<<"$answer"

echo "== configuration in force on h2"
build/programs/azurewellctl/azurewellctl show --host 127.0.0.1:19092 | head -20

echo "== planned stop"
for pid in "${fleet_pids[@]:1}"; do kill -TERM "$pid"; done
for pid in "${fleet_pids[@]:1}"; do wait "$pid"; done
echo "both hosts stopped with exit code 0"
