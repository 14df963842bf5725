#!/usr/bin/env bash
# Lets an engine and then a service report that they are leaving under load.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT
title="drill leaving"

set_up
start_load run --mix songs=6,editors=0.5 --duration 20s
sleep 8
put 10 /leaving '{"Leaving":true}'
sleep 2
early=$(count_of 10 AfterLeaving)
sleep 6
late=$(count_of 10 AfterLeaving)
status=0
await_load run || status=$?
summary run
echo "generations after the engine was leaving: $early in the first 2 s, $((late - early)) in the next 6 s"
[ "$status" -eq 0 ] || fail "the load tool found violations"
[ "$((late - early))" -eq 0 ] || fail "the leaving engine received new work after 2 s"
