#!/usr/bin/env bash
# Counts lines of code by kind: tests, stand-ins, benchmarks, and the part of the product that implements
# routing, limits, retries, membership, state and recovery. Excludes generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
lines() { # lines INCLUDE [EXCLUDE]: counts the lines of files whose path matches INCLUDE but not EXCLUDE
  { git ls-files '*.cpp' '*.h' | grep -v '/generated/' | grep -E "$1" | grep -vE "${2:-^$}" || true; } |
    tr '\n' '\0' | xargs -0 -r cat | wc -l
}
tests=$(lines '(^|/)tests/' '^tests/(soak|random_faults)/')
harness=$(lines '^(standins|tests/soak)/')
faults=$(lines '^tests/random_faults/')
code=$(lines '.' '(^|/)(tests|standins|benchmark|examples|fuzz)/')
bench=$(lines '^benchmark/')
policy=$(lines '^packages/(limits|scheduling|placement|routing|fleet|tickets|host|calls)/' '/tests/')
all=$((tests + harness + faults + code + bench))
echo "product code        $code"
echo "  routing, limits, retries, membership, state and recovery  $policy ($((100 * policy / code)) % of product code)"
echo "tests               $tests ($((100 * tests / all)) % of all)"
echo "random faults       $faults"
echo "stand-ins and soak  $harness ($((100 * harness / all)) % of all)"
echo "benchmarks          $bench"
echo "all                 $all"
