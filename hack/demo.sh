#!/usr/bin/env bash
# Runs the whole path: stand-ins, three instances, a document, and callers.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
trap 'finish $?' EXIT
trap 'exit 143' TERM INT

step="set up"
set_up
step="play"
"$bin/wigeondemo" play
step="status"
control 1 status
step="entries on the users' platform"
"$bin/wigeonsoak" --binary "$bin/wigeonstand" --folder run/entries --calm --length 3s
