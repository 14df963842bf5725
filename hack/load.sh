# Makes load on the instances and checks what came of it; sourced after
# processes.sh by the drills and the measurements.

document=load
# The agent programs' sizes come from the load tool, so that the engines
# generate as much as they are allowed.
engine_flags=(--token-time 5ms)

load_flags() { # load_flags: sets the array flags for every entry instance
  local n
  flags=(--ca "$dir/authority.pem" --key "laulukaar=$(cat "$dir/laulukaar.secret")" --key "binfold=$(cat "$dir/binfold.secret")")
  for ((n = 0; n < DEMO_INSTANCES; n++)); do
    flags+=(--entry "https://$(address $((100 + n)))")
  done
}

start_load() { # start_load NAME ARGUMENTS...: makes load in the background
  local name=$1
  shift
  load_flags
  start "load-$name" "$bin/wigeonload" run "${flags[@]}" --out "$dir/$name.json" "$@"
}

await_load() { # await_load NAME: waits for the load's end and prints its table; returns its status
  local pid=${pid_of[load-$1]} status=0
  wait "$pid" || status=$?
  unset "pid_of[load-$1]"
  grep -v "ERRO\|│\|^$" "$dir/load-$1.log" | head -40
  return "$status"
}

verify_load() { # verify_load NAME: compares the result with the services' counts
  "$bin/wigeonload" verify --ca "$dir/authority.pem" --service "fees=https://$(address 20)" \
    --service "dockets=https://$(address 21)" "$dir/$1.json"
}

tally() { # tally NAME FIELD: the sum of the field over the mixes
  python3 -c 'import json, sys
print(sum(mix["Requests"][sys.argv[2]] for mix in json.load(open(sys.argv[1]))["Mixes"]))' "$dir/$1.json" "$2"
}

summary() { # summary NAME: prints the requests by what became of them
  echo "$1: sent $(tally "$1" Sent), answered whole $(tally "$1" Whole), refused not run $(tally "$1" NotRun)," \
    "failed $(tally "$1" Failed), cut $(tally "$1" Cut), unknown $(tally "$1" Unknown)"
}

platform_faults() { # platform_faults JSON
  curl --silent --show-error --fail --cacert "$dir/authority.pem" -X PUT \
    -H "Authorization: Bearer $(cat "$dir/platform.secret")" "https://$(address 0)/faults" -d "$1"
}

put() { # put PORT PATH JSON: sets faults of a stand-in
  curl --silent --show-error --fail --cacert "$dir/authority.pem" -X PUT "https://$(address "$1")$2" -d "$3"
}

post() { # post PORT PATH: posts without a body
  curl --silent --show-error --fail --cacert "$dir/authority.pem" -X POST "https://$(address "$1")$2"
}

get() { # get PORT PATH
  curl --silent --show-error --fail --cacert "$dir/authority.pem" "https://$(address "$1")$2"
}

ready() { # ready N: says whether instance N is ready
  curl --silent --fail --max-time 2 --output /dev/null "http://$(address $((400 + $1)))/readyz"
}

await_ready() { # await_ready N SECONDS
  local deadline=$((SECONDS + $2))
  until ready "$1"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.1
  done
}
