#!/usr/bin/env bash
# Applies each mutation of hack/mutants/mutants.yaml to a scratch copy and runs
# its test: "caught" if the test fails, "MISSED" if it passes.
set -euo pipefail
cd "$(dirname "$0")/.."
only=${1:-}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
tool=$copy/mutants
go build -o "$tool" ./hack/mutants
caught=0 missed=0

# why prints the failed check, without what rapid drew on the way to it.
why() {
  grep -E '^ +[a-z_]+_test.go:[0-9]+: [^[]' "$copy/log" | grep -v -E ': (no [a-z]+|[0-9]+ steps)' | tail -1 | sed 's/^ *//'
}

while IFS=$'\t' read -r name package test; do
  [ -z "$only" ] || [ "$only" = "$name" ] || continue
  rm -rf "$copy/tree"
  mkdir "$copy/tree"
  git ls-files -z -- go.mod go.sum internal pkg cmd platform | xargs -0 cp --parents -t "$copy/tree"
  "$tool" apply --directory "$copy/tree" "$name"
  if ! (cd "$copy/tree" && go vet "$package") >"$copy/log" 2>&1; then
    echo "MISSED $name: it does not build"
    missed=$((missed + 1))
  elif (cd "$copy/tree" && FUZZ_SEEDS=${FUZZ_SEEDS:-40} go test -count=1 -run "^$test\$" "$package") >"$copy/log" 2>&1; then
    echo "MISSED $name"
    missed=$((missed + 1))
  else
    echo "caught $name by $test: $(why)"
    caught=$((caught + 1))
  fi
done < <("$tool" list)
echo "$caught caught, $missed missed"
[ "$missed" -eq 0 ]
