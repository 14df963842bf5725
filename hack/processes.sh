# Starts and stops the processes of the demonstration, the drills and the
# measurements; sourced by their scripts. Every process that is started is
# remembered by its id and stopped by it.
#
# DEMO_PORT is the port that the processes' ports are counted from, and
# DEMO_INSTANCES the number of instances; DEMO_DIRECTORY keeps their files.

export DEMO_PORT=${DEMO_PORT:-17400}
export DEMO_INSTANCES=${DEMO_INSTANCES:-3}
bin=bin
export DEMO_DIRECTORY=${DEMO_DIRECTORY:-run}
dir=$DEMO_DIRECTORY
document=document
title=demo
engine_flags=(--token-time 5ms --output-tokens 20)
service_flags=()
platform_flags=()
slots=16
stop_seconds=30
declare -A pid_of=()
fakes=(engine-0 engine-1 fees dockets platform)

address() { echo "127.0.0.1:$((DEMO_PORT + $1))"; }

instance_name() { # instance_name N: the name of instance N, from 0
  local centres=(ee-tln ee-trt ee-prn)
  echo "${centres[$(($1 % 3))]}-$(($1 / 3 + 1))"
}

instances=()
for ((n = 0; n < DEMO_INSTANCES; n++)); do
  instances+=("$(instance_name "$n")")
done

start() { # start NAME COMMAND...: runs the command with its log in $dir/NAME.log
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pid_of[$name]=$!
}

send_signal() { # send_signal NAME SIGNAL
  kill "-$2" "${pid_of[$1]}"
}

stop() { # stop NAME [SIGNAL]: signals the process and waits for its end
  local name=$1 signal=${2:-TERM} pid=${pid_of[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-$signal" "$pid" 2>/dev/null || true
  await_end "$name" || kill -KILL "$pid" 2>/dev/null || true
}

await_end() { # await_end NAME: fails if the process does not end in time
  local name=$1 pid=${pid_of[$1]} deadline=$((SECONDS + stop_seconds))
  unset "pid_of[$name]"
  while kill -0 "$pid" 2>/dev/null; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.1
  done
  wait "$pid" 2>/dev/null || true
}

stop_all() {
  local name
  for name in "${instances[@]}"; do
    [ -z "${pid_of[$name]:-}" ] || kill -TERM "${pid_of[$name]}" 2>/dev/null || true
  done
  for name in "${instances[@]}" "${fakes[@]}"; do
    stop "$name"
  done
}

start_engine() { # start_engine N
  start "engine-$1" "$bin/wigeonfakes" engine --listen "$(address $((10 + $1)))" --name "engine-$1" --model songbird "${tls[@]}" "${engine_flags[@]}"
}

start_fakes() {
  tls=(--cert "$dir/server.pem" --key "$dir/server-key.pem")
  start platform "$bin/wigeonfakes" platform --listen "$(address 0)" --bearer "$(cat "$dir/platform.secret")" "${tls[@]}" "${platform_flags[@]}"
  start_engine 0
  start_engine 1
  start fees "$bin/wigeonfakes" service --listen "$(address 20)" --name fees "${tls[@]}" "${service_flags[@]}"
  start dockets "$bin/wigeonfakes" service --listen "$(address 21)" --name dockets "${tls[@]}" "${service_flags[@]}"
}

start_instance() { start "$1" "$bin/wigeonstand" serve -f "$dir/$1.yaml"; }

start_instances() {
  local name
  for name in "${instances[@]}"; do
    start_instance "$name"
  done
}

control() { # control N ARGUMENTS...: wigeonctl through instance N
  local n=$1
  shift
  "$bin/wigeonctl" --address "https://$(address $((200 + n)))" --key-file "$dir/operator.secret" --ca "$dir/authority.pem" "$@"
}

apply_document() { control 0 apply --wait 16s --base latest "$dir/$document.yaml" >"$dir/apply.log"; }

set_up() { # makes the files, starts everything and applies the document
  rm -rf "$dir"
  "$bin/wigeondemo" prepare --directory "$dir" --slots "$slots"
  start_fakes
  "$bin/wigeondemo" register --directory "$dir"
  start_instances
  "$bin/wigeondemo" ready --directory "$dir"
  apply_document
}

finish() { # finish STATUS: stops everything and prints the verdict
  local status=$1
  trap - EXIT
  stop_all
  if [ "$status" -eq 0 ]; then
    echo "$title: ok"
  else
    echo "$title: FAILED: ${why:-exit status $status in step: ${step:-unknown}}; logs are in $dir/"
    status=1
  fi
  exit "$status"
}

fail() { # fail WHY: ends the script
  why=$*
  exit 1
}
