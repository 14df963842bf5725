#!/usr/bin/env bash
# Kills the owner of a posting between its intent and its outcome.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT
title="drill kill-posting"

set_up
put 20 /faults '{"Delay":3000000000,"Times":1}'
key=killed-1
owner=$(owner_of "$key")
entry=$(((owner + 1) % DEMO_INSTANCES))
name=${instances[$owner]}
fee "$entry" "$key" fees 30 >"$dir/answer" &
posting=$!
sleep 1
stop "$name" KILL
echo "killed $name, the owner of the posting"
wait "$posting"
answer=$(cat "$dir/answer")
echo "the caller was told: $answer"
[[ "$answer" != *NotRun* ]] || fail "NotRun was told of a posting that has run"
sleep 3
for n in 1 2 3; do
  echo "the same key again: $(fee "$entry" "$key"); recorded: $(outcome "$entry" "$key")"
done
state=$(outcome "$entry" "$key")
[ "$state" = Done ] || [ "$state" = Unknown ] || fail "the recorded outcome is $state"
ran=$(executions "$key")
[ "$ran" -eq 1 ] || fail "the posting was executed $ran times"
echo "executions: $ran"
