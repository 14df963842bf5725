#!/usr/bin/env bash
# Makes all open connections to the engines, the services and the platform
# silent under load.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT
title="drill silence"

set_up
start_load run --mix songs=3,editors=0.5,fees=5 --duration 40s --timeout 45s
sleep 8
for port in 10 11 20 21 0; do
  echo "silenced: $(post "$port" /silence)"
done
sleep 15
start_load after --mix songs=3,fees=3 --duration 10s --seed 2
status=0
await_load run || status=$?
summary run
kinds run
[ "$status" -eq 0 ] || fail "the load tool found violations"
status=0
await_load after || status=$?
summary after
[ "$status" -eq 0 ] || fail "the load tool found violations in the load after"
[ "$(tally after Sent)" -eq "$(tally after Whole)" ] || fail "requests from 15 s after the silence were not all answered whole"
verify_load run
