#!/usr/bin/env bash
# Fails if a package includes a header of a higher package, if the core uses the network, threads or a
# clock, or if a name of the platform's wire protocol is used outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
order=(units charts tickets limits scheduling placement routing calls fleet gateway host logging http proxy shell)
core=(units charts tickets limits scheduling placement routing calls fleet gateway host)
bad=0
for index in "${!order[@]}"; do
  for above in "${order[@]:index+1}" platform; do
    if grep -rnE "#include \"azurewell/$above/" "packages/${order[index]}/include" "packages/${order[index]}/src"; then
      echo "package ${order[index]} must not use $above" >&2
      bad=1
    fi
  done
done
for package in "${core[@]}"; do
  if grep -rnE '#include <(Qt(Network|HttpServer)/|thread>|mutex>|ctime>|sys/)|system_clock|steady_clock|random_device' \
      "packages/$package/include" "packages/$package/src"; then
    echo "the core package $package must not use the network, threads or a clock" >&2
    bad=1
  fi
done
wire='X-(Token-Usage|Prefix-Hash|Deadline-Ms|Expect-|Tenant|Key\b|Server-|Not-Executed|Instance-Id|Weight-Versions|Retention|Kv-)'
wire+='|kv-(key|range|watch)|fencing-token|route-type|weighted-services|target-latency-ms|max-adapters'
wire+='|rate-per-s|api-keys|op/(config|version)|AZUREWELL_BOOT|node-name|seed-nodes|internal-port-range'
if grep -rnE "$wire" packages programs standins benchmark fuzz tests examples --include='*.cpp' --include='*.h'; then
  echo "a name of the platform's wire protocol is used outside platform/" >&2
  bad=1
fi
[ "$bad" -eq 0 ] && echo "layers: clean"
exit "$bad"
