#!/usr/bin/env bash
# Runs all tests under the race detector, except those that KNOWN-RED.txt lists, which it
# prints. An entry there begins with "Test: PACKAGE NAME". Tests of cost run without the race
# detector, and on arm64 those in which its own runtime crashes. Tests that measure the memory of
# a process run alone.
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(sed -nE 's/^Test: (\S+) (Test\w+)$/\1 \2/p' KNOWN-RED.txt)
skipped=$(echo "$known" | awk '{print $2}')
if [ -n "$known" ]; then
  echo "known to fail, not run (KNOWN-RED.txt):"
  echo "$known" | sed 's/^/  /'
fi
unraced=
if [ "$(go env GOARCH)" = arm64 ]; then
  # SIGSEGV in the sanitizer's StackDepotBase::Put, within a bubble of testing/synctest.
  unraced=TestBudgetsHoldWithOpeningsUnderFaults
fi
skip=()
alone='TestCrowd|TestCrowdOfAllKinds|TestEndlessResponsesOfEndpoints|TestEndlessResponsesOfTheStore'
pattern=$(printf '%s\n' $skipped $unraced $alone | paste -sd'|')
if [ -n "$pattern" ]; then
  skip=(-skip "^($pattern)\$")
fi
go test -race -timeout 20m "${skip[@]}" "$@" ./...
if [ -n "$unraced" ]; then
  go test -timeout 20m -count=1 -run "^$unraced\$" "$@" ./internal/bookkeeper
fi
alone=$(printf '%s\n' ${alone//|/ } | grep -vxF "$skipped" | paste -sd'|' || true)
if [ -n "$alone" ]; then
  go test -timeout 15m -count=1 -run "^($alone)\$" "$@" ./cmd/wigeonstand/cmd
fi
# The race detector multiplies the cost of what this test measures.
exec go test -timeout 5m -count=1 -run '^TestDecisionCost$' ./internal/allotter
