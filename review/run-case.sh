#!/usr/bin/env bash
# Runs case $1 (a folder of review/): exit code 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
set -u
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
case=$1
command=$(sed -n 's/^run = "\(.*\)"/\1/p' "$root/deploy/system.toml" | head -1)
read -r -a words <<<"$command"
words[0]="$root/${words[0]}"
program="$review/bin/case-$case"
[ -x "$program" ] && [ -x "${words[0]}" ] || exit 2
folder=$(mktemp -d)
"$program" "$root" "$folder" "$review/$case/record.txt" "${words[@]}" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' INT TERM
wait "$child"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"/; fi
rm -rf "$folder"
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
