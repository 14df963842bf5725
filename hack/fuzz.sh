#!/usr/bin/env bash
# Fuzzes with seeds that no run has tried, until the time is up. Prints the
# steps drawn; a failing seed is printed with its shrunk history.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=$(( $(date -d "1970-01-01 UTC +${1/%m/ minutes}" +%s 2>/dev/null || echo 600) ))
end=$((SECONDS + seconds))
seed=$(( $(date +%s) % 1000000 * 1000 ))
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
go test -c -o "$out/decider.test" ./internal/decider
go test -c -o "$out/assembler.test" ./internal/assembler
failed=0 steps=0
while [ "$SECONDS" -lt "$end" ]; do
  for part in decider:TestCoreInvariants:50 decider:TestBudgetInvariants:50 assembler:TestFleetInvariants:5; do
    IFS=: read -r package test seeds <<<"$part"
    if (cd "internal/$package" && FUZZ_SEED=$seed FUZZ_SEEDS=$seeds "$out/$package.test" -test.run "^$test\$" -test.v -test.timeout 10m) >"$out/log" 2>&1; then
      new=$(grep -oE '[0-9]+ steps' "$out/log" | tail -1 | cut -d' ' -f1 || true)
      steps=$((steps + ${new:-0}))
      echo "$test: seeds $seed to $((seed + seeds - 1)): ok, ${new:-0} steps"
    else
      failed=1
      echo "$test: FAILED within seeds $seed to $((seed + seeds - 1)):"
      grep -v -E 'no (attempt|release|draw|program|session|kill)' "$out/log" | head -200
    fi
  done
  seed=$((seed + 100))
done
echo "$steps steps"
exit "$failed"
