#!/usr/bin/env bash
# Measures on real processes: what the path adds to a call of the engine, what
# a request costs, what a program weighs, and what control costs as instances
# grow. Figures go to standard output, one line each.
set -euo pipefail
cd "$(dirname "$0")/.."
parts=${COST_PARTS:-latency throughput programs control}
if [ "$#" -eq 0 ]; then
  for part in $parts; do
    case "$part" in
    control)
      for n in ${COST_INSTANCES:-3 6 12 24}; do
        DEMO_INSTANCES=$n "$0" control
      done
      ;;
    *) "$0" "$part" ;;
    esac
  done
  exit 0
fi
. hack/processes.sh
. hack/load.sh
title="cost $1"
trap 'finish $?' EXIT
trap 'exit 143' TERM INT

# The engines take many generations at once and answer at once, so that what is
# left is the path's own cost.
slots=4096
engine_flags=(--token-time 100us --peer-time 1us --prefill-time 0 --slots 4096 --cache-tokens 2000000)

usage() { # usage: a line of processor ticks, bytes of memory and bytes sent for each instance
  local n name pid
  for ((n = 0; n < DEMO_INSTANCES; n++)); do
    name=${instances[$n]}
    pid=${pid_of[$name]}
    python3 - "$pid" "$(metric "$n" process_resident_memory_bytes)" "$(metric "$n" go_memstats_heap_alloc_bytes)" \
      "$(metric "$n" process_network_transmit_bytes_total)" "$(metric "$n" wigeonstand_store_requests_total)" \
      "$(metric "$n" wigeonstand_store_requests_total 'Operation="Commit"')" <<'P'
import os, sys
ticks = open(f"/proc/{sys.argv[1]}/stat").read().rsplit(")", 1)[1].split()
print((int(ticks[11]) + int(ticks[12])) / os.sysconf("SC_CLK_TCK"), *sys.argv[2:])
P
  done
}

compare() { # compare BEFORE AFTER SECONDS: means per instance
  python3 - "$@" <<'P'
import sys
def read(path):
    return [[float(word) for word in line.split()] for line in open(path)]
before, after, seconds = read(sys.argv[1]), read(sys.argv[2]), float(sys.argv[3])
n = len(before)
mean = lambda i: sum(a[i] - b[i] for a, b in zip(after, before)) / n / seconds
print(f"  per instance: {mean(0) * 100:.2f}% of a core, {sum(a[1] for a in after) / n / 1e6:.1f} MB resident,"
      f" {sum(a[2] for a in after) / n / 1e6:.1f} MB heap, {mean(4):.2f} store requests/s of which {mean(5):.2f} commits")
P
}

measure() { # measure SECONDS: prints the use of the instances over the time
  usage >"$dir/before"
  local bytes
  bytes=$(loopback_bytes)
  sleep "$1"
  usage >"$dir/after"
  compare "$dir/before" "$dir/after" "$1"
  echo "  loopback: $((($(loopback_bytes) - bytes) / $1 / 1000)) KB/s in all, other processes of the machine included"
}

loopback_bytes() { awk '$1 == "lo:" { print $2 }' /proc/net/dev; }

cost_latency() {
  local mix="songs=${COST_RATE:-40},editors=1" seed=1 direct=()
  start_load path --mix "$mix" --duration 12s --pauses 0.1 --seed "$seed" --samples
  sleep 3
  measure 8
  await_load path
  for n in 0 1; do
    direct+=(--engine "https://$(address $((10 + n)))")
  done
  "$bin/wigeonload" direct --ca "$dir/authority.pem" "${direct[@]}" --model songbird --mix "$mix" --duration 12s --pauses 0.1 \
    --seed "$seed" --samples --out "$dir/direct.json" >"$dir/direct.log"
  "$bin/wigeonload" report --pair "$dir/direct.json" "$dir/path.json"
}

cost_throughput() { # raises the rate and prints the processor time per request
  local rate sent
  for rate in ${COST_RATES:-100 300}; do
    start_load "rate-$rate" --mix "songs=$rate" --duration 12s --pauses 0.1 --timeout 20s
    sleep 4
    sent=$(requests)
    echo "songs=$rate programs/s:"
    measure 8
    sent=$((($(requests) - sent) / 8))
    echo "  $sent requests/s; processor time per request: $(python3 - "$dir/before" "$dir/after" "$sent" <<'P'
import sys
total = lambda path: sum(float(line.split()[0]) for line in open(path))
print(f"{(total(sys.argv[2]) - total(sys.argv[1])) / 8 / max(int(sys.argv[3]), 1) * 1e6:.0f} us")
P
)"
    await_load "rate-$rate" >"$dir/table" || true
    grep -v TokenGap "$dir/table"
  done
}

requests() { # the requests that all instances have answered
  local n total=0
  for ((n = 0; n < DEMO_INSTANCES; n++)); do
    total=$((total + $(metric "$n" wigeonstand_requests_total)))
  done
  echo "$total"
}

cost_programs() { # opens programs and prints the heap per program
  local programs
  echo "programs per instance and live heap:"
  heaps
  for programs in ${COST_PROGRAMS:-1000 9000 20000}; do
    "$bin/wigeondemo" crowd --directory "$dir" --programs "$programs" --parallel 64
    heaps
  done
}

heaps() { # the live heap of each instance after a collection
  local n
  sleep 3
  for ((n = 0; n < DEMO_INSTANCES; n++)); do
    echo "  ${instances[$n]}: $(metric "$n" wigeonstand_programs) programs, $(metric "$n" go_memstats_heap_alloc_bytes) bytes of heap," \
      "$(metric "$n" process_resident_memory_bytes) resident"
  done
}

cost_control() { # prints the use of idle and of loaded instances
  echo "$DEMO_INSTANCES instances, idle:"
  sleep 4
  measure 10
  start_load load --mix songs=10,fees=5 --duration 14s
  sleep 3
  echo "$DEMO_INSTANCES instances, songs=10, fees=5:"
  measure 9
  await_load load >"$dir/table"
  grep -v TokenGap "$dir/table"
}

set_up
"cost_$1"
