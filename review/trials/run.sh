#!/usr/bin/env bash
# Builds and runs the trial $1: what the review saw beside its cases, see ../REPORT.md. Exit code 1: as
# reported; 0: not; 2: it couldn't run. TROUBLE=0 leaves the disruption out; PROGRAM: another build of
# azurewelld than that of the deploy file.
set -u
trials=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$(dirname "$trials")")
program=${PROGRAM:-$root/target/programs/azurewelld/azurewelld}
[ -x "$program" ] && [ -f "$trials/$1.cc" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$folder/trial" "$trials/$1.cc" || exit 2
"$folder/trial" "$root" "$folder" "$trials/record.txt" "$program" node
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"/; fi
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
