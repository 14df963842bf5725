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
  grep "LoadAnswerCut" "$dir/load-$1.log" | head -10 || true
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

fee() { # fee ENTRY KEY [SERVICE] [SECONDS]: posts once; prints status, kind, whether it ran, and Retry-After
  local service=${3:-fees} seconds=${4:-30} business=laulukaar
  [ "$service" = fees ] || business=binfold
  curl --silent --cacert "$dir/authority.pem" --max-time "$((seconds + 5))" --dump-header "$dir/head-$2" --output "$dir/body-$2" \
    --write-out '%{http_code}' -X POST -H "Authorization: Bearer $(cat "$dir/$business.secret")" -H "Wigeonstand-Key: $2" \
    -H "Wigeonstand-Timeout: ${seconds}s" "https://$(address $((100 + $1)))/v1/services/$service/postings/$2" -d "{\"Key\":\"$2\"}" || true
  describe "$2"
}

describe() { # describe KEY: what the answer's header and body say beside the status
  python3 - "$dir/head-$1" "$dir/body-$1" <<'P'
import json, sys
after = ""
try:
    for line in open(sys.argv[1]):
        name, _, value = line.partition(":")
        if name.lower() == "retry-after":
            after = value.strip()
        if name.lower() == "wigeonstand-replayed":
            after += " replayed"
except OSError:
    pass
try:
    body = json.load(open(sys.argv[2]))
except (OSError, ValueError):
    body = {}
print("", body.get("Kind", "Whole"), body.get("Ran", "Ran"), "RetryAfter=" + after if after else "")
P
}

outcome() { # outcome ENTRY KEY: the state that is recorded of the posting
  curl --silent --cacert "$dir/authority.pem" --max-time 35 -H "Authorization: Bearer $(cat "$dir/laulukaar.secret")" \
    "https://$(address $((100 + $1)))/v1/outcomes/$2" | python3 -c 'import json, sys
answer = json.load(sys.stdin)
print(answer.get("State") or answer.get("Kind"))' || echo "NoAnswer"
}

executions() { # executions KEY [PORT]: how often the service has executed the posting
  get "${2:-20}" /counts | python3 -c 'import json, sys
print(sum(e["Count"] for e in json.load(sys.stdin)["Executions"] if e["Path"].endswith("/" + sys.argv[1])))' "$1"
}

count_of() { # count_of PORT FIELD: a counter of a stand-in
  get "$1" /counts | python3 -c 'import json, sys
print(json.load(sys.stdin)[sys.argv[1]])' "$2"
}

owner_of() { # owner_of KEY: the number of the instance that owns it
  "$bin/wigeondemo" owner --directory "$dir" --key "$1"
}

kinds() { # kinds NAME: the refusals of a run by kind
  python3 -c 'import collections, json, sys
kinds = collections.Counter()
for mix in json.load(open(sys.argv[1]))["Mixes"]:
    for kind in mix["Kinds"] or []:
        kinds[kind["Kind"]] += kind["Count"]
print("refusals:", dict(kinds))' "$dir/$1.json"
}

wait_fee() { # wait_fee ENTRY SECONDS: posts new fees until one is answered whole
  local deadline=$((SECONDS + $2)) n=0 seen
  while true; do
    n=$((n + 1))
    seen=$(fee "$1" "after-$1-$n-$SECONDS" fees 5)
    [[ "$seen" != 200* ]] || return 0
    [ "$SECONDS" -lt "$deadline" ] || { echo "last answer: $seen"; return 1; }
    sleep 0.5
  done
}

metric() { # metric N NAME [LABELS]: the metric's value on instance N, 0 if it is absent
  curl --silent --fail "http://$(address $((400 + $1)))/metrics" | python3 -c 'import sys
total = 0.0
for line in sys.stdin:
    if line.startswith(sys.argv[1]) and line[len(sys.argv[1])] in "{ " and sys.argv[2] in line:
        total += float(line.rsplit(" ", 1)[1])
print(int(total))' "$2" "${3:-}"
}
