#!/usr/bin/env bash
# Stops and starts each instance in turn under load. No request may be cut or
# left in doubt, and every acknowledged posting must have run exactly once.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
title=rolling
trap 'finish $?' EXIT
trap 'exit 143' TERM INT

duration=${ROLLING_SECONDS:-60}
mix=${ROLLING_MIX:-songs=4,editors=0.5,trims=0.4,fees=5}

step="set up"
set_up
step="load"
start_load run --mix "$mix" --duration "${duration}s" --seed "${ROLLING_SEED:-1}"
sleep 5
for ((n = 0; n < DEMO_INSTANCES; n++)); do
  name=${instances[$n]}
  step="stop of $name"
  began=$(date +%s.%N)
  send_signal "$name" TERM
  await_end "$name" || fail "$name did not end by itself within ${stop_seconds}s"
  echo "$name ended by itself after $(python3 -c 'import sys; print(f"{float(sys.argv[2]) - float(sys.argv[1]):.1f}")' "$began" "$(date +%s.%N)") s"
  sleep 1
  start_instance "$name"
  await_ready "$n" 20 || fail "$name was not ready within 20 s of its start"
  sleep 4
done
step="end of the load"
status=0
await_load run || status=$?
summary run
[ "$status" -eq 0 ] || fail "the load tool found violations"
[ "$(tally run Cut)" -eq 0 ] || fail "$(tally run Cut) requests were cut"
[ "$(tally run Unknown)" -eq 0 ] || fail "$(tally run Unknown) requests are unknown"
step="verify"
verify_load run
