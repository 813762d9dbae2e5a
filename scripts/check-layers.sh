#!/usr/bin/env bash
# Fails where a package includes a header of a package above it, or where the core uses the network,
# threads or a clock.
set -euo pipefail
cd "$(dirname "$0")/.."
order=(units charts tickets limits scheduling placement routing calls fleet host shell)
bad=0
for index in "${!order[@]}"; do
  for above in "${order[@]:index+1}"; do
    if grep -rnE "#include \"azurewell/$above/" "packages/${order[index]}/include" "packages/${order[index]}/src"; then
      echo "package ${order[index]} must not use $above" >&2
      bad=1
    fi
  done
done
for package in "${order[@]:0:10}"; do
  if grep -rnE '#include <(Qt(Network|HttpServer)/|thread>|mutex>|ctime>|sys/)|system_clock|steady_clock|random_device' \
      "packages/$package/include" "packages/$package/src"; then
    echo "the core package $package must have no network, thread or clock" >&2
    bad=1
  fi
done
[ "$bad" -eq 0 ] && echo "layers: clean"
exit "$bad"
