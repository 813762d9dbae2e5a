#!/usr/bin/env bash
# request-log.sh ID FILE...: the log lines of one request id in the files of all hosts, in order of time.
set -euo pipefail
[ $# -ge 2 ] || { echo "usage: $0 ID FILE..." >&2; exit 2; }
id=$1
shift
grep -hF -- "request=$id" "$@" | sort
