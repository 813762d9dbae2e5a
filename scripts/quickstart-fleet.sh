# Sourced by scripts that run the quickstart's stand-ins and hosts: start_fleet, stop_fleet, wait_for.
# The ports are fixed, so a lock allows only one fleet at a time.

fleet_pids=()

stop_fleet() {
  for pid in "${fleet_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  fleet_pids=()
}

wait_for() { # wait_for URL
  for _ in $(seq 1 200); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no successful answer from $1 after 200 attempts" >&2
  return 1
}

start_fleet() { # start_fleet BUILD LOGS: run it in a directory that contains examples/ and charts/
  exec 9>"${TMPDIR:-/tmp}/azurewell-quickstart.lock"
  flock 9
  "$1/standins/azurewell-standins" --settings examples/quickstart/standins.json >"$2/standins.log" 2>&1 9>&- &
  fleet_pids+=($!)
  for host in h1 h2; do
    "$1/programs/azurewelld/azurewelld" --settings "examples/quickstart/$host.json" >"$2/$host.log" 2>&1 9>&- &
    fleet_pids+=($!)
  done
  wait_for http://127.0.0.1:19091/readyz
  wait_for http://127.0.0.1:19092/readyz
}
