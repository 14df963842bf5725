#!/usr/bin/env bash
# Lets the platform lose 30% of the answers to its writes for 30 s under load.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT
title="drill lost-answers"

set_up
start_load run --mix songs=3,editors=0.5,trims=0.3,fees=5 --duration 45s
sleep 5
platform_faults '{"LoseAnswers":0.3}'
echo "the platform loses 30% of its answers"
sleep 30
platform_faults '{}'
doubtful=0
for ((n = 0; n < DEMO_INSTANCES; n++)); do
  doubtful=$((doubtful + $(metric "$n" wigeonstand_store_requests_total 'Operation="Commit",Result="InDoubt"')))
done
echo "commits whose answer was lost: $doubtful"
[ "$doubtful" -gt 0 ] || fail "no answer was lost, so that the drill has proved nothing"
status=0
await_load run || status=$?
summary run
kinds run
for name in "${instances[@]}"; do
  echo "$name has taken its lease $(grep -c LeaseTaken "$dir/$name.log" || true) times"
done
[ "$status" -eq 0 ] || fail "the load tool found violations"
verify_load run
