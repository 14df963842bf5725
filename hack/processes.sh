# Starts and stops the demonstration's processes; sourced by the demo scripts.
# Every process that is started is remembered by its id and stopped by it.

bin=bin
dir=run
declare -A pid_of=()

start() { # start NAME COMMAND...: runs the command with its log in $dir/NAME.log
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pid_of[$name]=$!
}

stop() { # stop NAME [SIGNAL]: signals the process and waits for its end
  local name=$1 signal=${2:-TERM} pid=${pid_of[$1]:-}
  [ -n "$pid" ] || return 0
  unset "pid_of[$name]"
  kill "-$signal" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

stop_all() {
  local name
  for name in ee-tln-1 ee-trt-1 ee-prn-1 engine-0 engine-1 fees platform; do
    stop "$name"
  done
}

start_fakes() {
  local tls=(--cert "$dir/server.pem" --key "$dir/server-key.pem")
  start platform "$bin/wigeonfakes" platform --listen 127.0.0.1:17400 --bearer "$(cat "$dir/platform.secret")" "${tls[@]}"
  start engine-0 "$bin/wigeonfakes" engine --listen 127.0.0.1:17410 --name engine-0 --model songbird "${tls[@]}" "${engine_flags[@]}"
  start engine-1 "$bin/wigeonfakes" engine --listen 127.0.0.1:17411 --name engine-1 --model songbird "${tls[@]}" "${engine_flags[@]}"
  start fees "$bin/wigeonfakes" service --listen 127.0.0.1:17420 --name fees "${tls[@]}"
}
engine_flags=(--token-time 5ms --output-tokens 20)

start_instance() { start "$1" "$bin/wigeonstand" serve -f "$dir/$1.yaml"; }

start_instances() {
  local name
  for name in ee-tln-1 ee-trt-1 ee-prn-1; do
    start_instance "$name"
  done
}

apply_document() {
  "$bin/wigeonctl" --address https://127.0.0.1:17440 --key-file "$dir/operator.secret" --ca "$dir/authority.pem" \
    apply --wait 16s --base latest "$dir/document.yaml" >"$dir/apply.log"
}

set_up() { # makes the files, starts everything and applies the document
  rm -rf "$dir"
  "$bin/wigeondemo" prepare --directory "$dir"
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
    echo "demo: ok"
  else
    echo "demo: FAILED: exit status $status in step: ${step:-unknown}; logs are in $dir/"
    status=1
  fi
  exit "$status"
}
