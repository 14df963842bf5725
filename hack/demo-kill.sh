#!/usr/bin/env bash
# Kills one instance between two turns of editors' sessions; the sessions go on
# through the others with their histories whole.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT

step="set up"
set_up
step="turns 1 to 3"
"$bin/wigeondemo" edit --from 1 --to 3 --state "$dir/sessions.json"
step="kill"
echo "killing ee-trt-1 with SIGKILL"
stop ee-trt-1 KILL
step="turns 4 and 5 through the others"
"$bin/wigeondemo" edit --from 4 --to 5 --entry 0 --entry 2 --state "$dir/sessions.json"
