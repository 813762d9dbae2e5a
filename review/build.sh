#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
builds=()
for source in */case.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case-$(dirname "$source")" "$source" &
  builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
