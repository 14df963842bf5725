#!/usr/bin/env bash
# Scores the deployments of the regression list on the users' bench and prints the worth
# of each day beside the last committed figures, hack/regression.txt.
#
#   FLEETBENCH=PATH SITES=DIR hack/regression.sh [--write] [score options]
#
# SITES is the folder with the users' deployments. --write renews the figures.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?path of the bench}" "${SITES:?folder of the deployments}"
sites=(
  further/swf-anfragen
  further-grown/swf-anfragen-grown
  shifted/laulukaar-stand-now-grown
  demands/frioteca-yards-grown
  demands/macleish-lamps-grown
  large/laulukaar-stand-large
  grown/laulukaar-stand-grown
  grown/binfold-hq-grown
)
write=false
if [ "${1:-}" = --write ]; then
  write=true
  shift
fi
figures=$(mktemp)
trap 'rm -f "$figures"' EXIT
for site in "${sites[@]}"; do
  output=$("$FLEETBENCH" score "$SITES/$site.toml" --jobs 3 --why regression "$@")
  awk -v site="${site##*/}" '
    $2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh/ { print site, $1, $4 }
    /^GATE/ { print site, "gate", $2 }
  ' <<<"$output" >>"$figures"
done
awk 'NR == FNR { last[$1 " " $2] = $3; next }
  { printf "%-26s %-12s %8s %8s\n", $1, $2, $3, last[$1 " " $2] }' hack/regression.txt "$figures"
if $write; then
  cp "$figures" hack/regression.txt
fi
