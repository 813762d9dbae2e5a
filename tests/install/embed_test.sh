#!/usr/bin/env bash
# embed_test.sh BUILD SOURCE: installs, builds examples/embed against the installed package, runs it.
set -euo pipefail
build=$1
source=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/prefix" >/dev/null
for file in bin/azurewelld bin/azurewellctl include/azurewell/host/host.h share/azurewell/charts/process.scxml \
    share/man/man1/azurewellctl.1 share/man/man8/azurewelld.8 lib/systemd/system/azurewelld.service \
    share/azurewell/examples/quickstart/h1.json; do
  [ -e "$work/prefix/$file" ] || { echo "not installed: $file" >&2; exit 1; }
done
cmake -S "$source/examples/embed" -B "$work/embed" -G Ninja -DCMAKE_PREFIX_PATH="$work/prefix" \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$work/embed" >/dev/null
"$work/embed/embed" "$work/prefix/share/azurewell/charts"
