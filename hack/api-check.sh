#!/usr/bin/env bash
# Runs the examples of docs/API.md, as a reader would paste them.
set -euo pipefail
cd "$(dirname "$0")/.."
. hack/processes.sh
trap 'finish $?' EXIT

step="set up"
set_up
step="examples"
awk '/^```sh$/ {on = 1; next} /^```$/ {on = 0} on' docs/API.md |
  sed -e "s|127.0.0.1:17500|$(address 100)|; s| run/| $dir/|g; s|=run/|=$dir/|g; s|curl -sS|curl -sS --fail-with-body|" >"$dir/examples.sh"
bash -euo pipefail "$dir/examples.sh" | tee "$dir/examples.log"
echo
