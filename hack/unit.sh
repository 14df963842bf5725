#!/usr/bin/env bash
# Runs all tests under the race detector, except those that KNOWN-RED.txt lists, which it
# prints. An entry there begins with "Test: PACKAGE NAME". Tests of cost run without the race
# detector.
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(sed -nE 's/^Test: (\S+) (Test\w+)$/\1 \2/p' KNOWN-RED.txt)
skip=()
if [ -n "$known" ]; then
  echo "known to fail, not run (KNOWN-RED.txt):"
  echo "$known" | sed 's/^/  /'
  skip=(-skip "^($(echo "$known" | awk '{print $2}' | paste -sd'|'))\$")
fi
go test -race -timeout 20m "${skip[@]}" "$@" ./...
# The race detector multiplies the cost of what this test measures.
exec go test -timeout 5m -count=1 -run '^TestDecisionCost$' ./internal/allotter
