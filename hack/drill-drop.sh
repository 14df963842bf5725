#!/usr/bin/env bash
# Lets services read a posting and drop the connection.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
. hack/load.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT
title="drill drop"

set_up
for n in 0 1 2; do
  fee "$n" "warm-$n" >/dev/null
  fee "$n" "warm-$n" dockets >/dev/null
done
for port in 20 21; do
  service=fees
  [ "$port" -eq 20 ] || service=dockets
  for fault in CloseAfter CloseBefore; do
    put "$port" /faults "{\"$fault\":true,\"Times\":1}"
    before=$(count_of "$port" Received)
    answer=$(fee 0 "$fault-1" "$service")
    ran=$(executions "$fault-1" "$port")
    received=$(($(count_of "$port" Received) - before))
    echo "$service $fault: $answer; requests read: $received; executions: $ran"
    [ "$received" -eq 1 ] || fail "the service read $received requests"
    [ "$ran" -le 1 ] || fail "the posting was executed $ran times"
    [[ "$answer" == *OutcomeUnknown*Unknown* ]] || fail "the caller was not told OutcomeUnknown"
    again=$(fee 1 "$fault-1" "$service")
    again=$(fee 1 "$fault-1" "$service")
    echo "$service $fault, the same key again: $again; executions: $(executions "$fault-1" "$port")"
    [ "$(executions "$fault-1" "$port")" -eq "$ran" ] || fail "the same key ran again"
  done
done
