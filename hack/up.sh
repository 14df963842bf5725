#!/usr/bin/env bash
# Starts the demonstration's processes and keeps them running until it is
# interrupted or its standard input ends.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
trap 'finish $?' EXIT

step="set up"
set_up
echo "up: callers at https://$(address 100), operators at https://$(address 200); end with Ctrl-D"
cat >/dev/null
