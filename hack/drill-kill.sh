#!/usr/bin/env bash
# Kills an instance under load of editors' sessions.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT
title="drill kill"

set_up
start_load run --mix editors=2,songs=2 --duration 25s --pauses 0.5 --resend --attempts 30
sleep 12
stop "${instances[1]}" KILL
echo "killed ${instances[1]}"
status=0
await_load run || status=$?
summary run
kinds run
[ "$status" -eq 0 ] || fail "the load tool found violations"
[ "$(tally run Sent)" -eq "$(tally run Whole)" ] || fail "not every request was answered whole in the end"
