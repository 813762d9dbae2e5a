#!/usr/bin/env bash
# request-log.sh ID FILE...: prints the log lines of one request id from the files, sorted by time.
set -euo pipefail
[ $# -ge 2 ] || { echo "usage: $0 ID FILE..." >&2; exit 2; }
id=$1
shift
grep -hF -- "request=$id" "$@" | sort
