#!/usr/bin/env bash
# Pauses the owner of a posting past its lease while the posting runs.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT
title="drill pause"

set_up
put 20 /faults '{"Delay":2500000000,"Times":1}'
key=paused-1
owner=$(owner_of "$key")
entry=$(((owner + 1) % DEMO_INSTANCES))
name=${instances[$owner]}
fee "$entry" "$key" fees 30 >"$dir/answer" &
posting=$!
sleep 0.8
send_signal "$name" STOP
echo "paused $name, the owner of the posting, for 8 s; its lease lasts 3 s"
sleep 8
send_signal "$name" CONT
wait "$posting"
answer=$(cat "$dir/answer")
ran=$(executions "$key")
echo "the caller was told: $answer; executions: $ran"
[ "$ran" -le 1 ] || fail "the posting was executed $ran times"
case "$answer" in
200*) [ "$ran" -eq 1 ] || fail "success was told of a posting that has not run" ;;
*NotRun*) [ "$ran" -eq 0 ] || fail "NotRun was told of a posting that has run" ;;
*Unknown*) ;;
*) fail "the caller was told neither success, NotRun nor Unknown" ;;
esac
await_ready "$owner" 20 || fail "$name did not become ready within 20 s"
again=$(fee "$entry" "$key")
echo "the same key again: $again; recorded: $(outcome "$entry" "$key")"
again=$(fee "$entry" "$key")
echo "and again: $again; recorded: $(outcome "$entry" "$key"); executions: $(executions "$key")"
[ "$(executions "$key")" -le 1 ] || fail "the posting was executed again"
taken=$(grep -c LeaseTaken "$dir/$name.log" || true)
echo "$name has taken its lease $taken times"
[ "$taken" -ge 2 ] || fail "$name has no new lease"
wait_fee "$owner" 20 || fail "$name did not serve again within 20 s"
