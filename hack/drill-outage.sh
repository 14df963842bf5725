#!/usr/bin/env bash
# Takes the platform away for 60 s under load.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT
title="drill outage"

set_up
before=$(control 0 status | grep -o 'newest version: [0-9]*' || true)
start_load run --mix songs=3,editors=0.5,fees=3 --duration 90s --timeout 20s
sleep 10
platform_faults '{"Outage":true}'
echo "the platform is down"
sleep 2
sed 's/MaxTurns: 20,/MaxTurns: 21,/' "$dir/load.yaml" >"$dir/changed.yaml"
apply=0
control 0 apply --base latest "$dir/changed.yaml" >"$dir/changed.log" 2>&1 || apply=$?
echo "a document applied during the outage: exit status $apply, $(tail -1 "$dir/changed.log")"
[ "$apply" -eq 4 ] || [ "$apply" -eq 5 ] || fail "apply ended with status $apply"
for n in 0 1 2 0 1 2 0 1 2; do
  echo "a posting through instance $n: $(fee "$n" "outage-$n-$SECONDS" fees 5)"
  sleep 5
done
sleep 3
platform_faults '{}'
up=$SECONDS
echo "the platform is up"
wait_fee 0 16 || fail "postings were not served within 16 s of the platform's return"
echo "postings are served $((SECONDS - up)) s after the platform's return"
status=0
await_load run || status=$?
summary run
kinds run
echo "$before; then: $(control 0 status | grep -i 'version\|force' | tr '\n' ';')"
control 0 status | grep -q 'in force everywhere: yes' || fail "no version is in force everywhere"
[ "$status" -eq 0 ] || fail "the load tool found violations"
verify_load run
