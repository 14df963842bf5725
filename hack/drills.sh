#!/usr/bin/env bash
# Runs all drills and prints a line for each; fails if one of them fails.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
for drill in pause kill-posting drop kill outage lost-answers silence leaving; do
  "hack/drill-$drill.sh" || failed=$((failed + 1))
done
echo "drills: $failed failed"
[ "$failed" -eq 0 ]
