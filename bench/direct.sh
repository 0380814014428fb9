#!/usr/bin/env bash
# Compares a router with calling the engine directly, on this machine and on loopback only, and prints
# tables for docs/MEASUREMENTS.md. Starts a log, a list, an engine, a sidecar and a router, ends only
# these, and stops by itself within about five minutes.
#   bench/direct.sh [CONCURRENCY] [REQUESTS] [TOKEN-MILLIS]
set -euo pipefail
cd "$(dirname "$0")/.."
concurrency=${1:-64}
requests=${2:-4000}
token_millis=${3:-10}
base=${SNIPELOOM_BENCH_PORT:-7300}
work=target/bench-direct
[ -f target/snipeloom-0.1.0.jar ] || mvn -B -q -o package -DskipTests
rm -rf "$work"
mkdir -p "$work"
pids=()
end() {
  trap - EXIT INT TERM
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do # the router and the sidecar write to the log as they stop
    kill "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
}
trap end EXIT INT TERM
declare -A started_ms
run() { # NAME READY-URL ARGS...: starts a process, waits until it answers and notes the time taken
  local name=$1 url=$2 from
  shift 2
  from=$(date +%s%N)
  bin/snipeloom "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$work/$name.pid"
  for _ in $(seq 3000); do
    if curl -fs -o /dev/null "$url"; then
      started_ms[$name]=$((($(date +%s%N) - from) / 1000000))
      return
    fi
    sleep 0.02
  done
  echo "no answer from $name; see $work/$name.log" >&2
  exit 1
}
rss_mb() { awk '/VmRSS/ {printf "%.0f", $2 / 1024}' "/proc/$(cat "$work/$1.pid")/status"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$(cat "$work/$1.pid")/stat"; }
load() { bin/snipeloom load --concurrency "$concurrency" --requests "$requests" --warm-up "$requests" "$@" || true; }
# One request at a time: the engine is idle when it comes, so that no wait for a step of the batch hides
# the time that the hops add.
alone() { bin/snipeloom load --concurrency 1 --requests 500 --warm-up 500 --max-tokens 4 --stream "$@" || true; }
log=http://127.0.0.1:$base
list=http://127.0.0.1:$((base + 2))
engine=http://127.0.0.1:$((base + 4))
router=http://127.0.0.1:$((base + 10))
logging="\"log\": {\"addresses\": [\"$log\"], \"stream\": \"decisions\"}"
key='"sharedKey": "bench-fleet-shared-key"'
register() { # NAME ROLE UPSTREAM-OR-NULL PORT
  curl -fs -o /dev/null -X PUT "$list/instances/$1" -d \
    "{\"id\": \"$1\", \"role\": \"$2\", \"zone\": \"local-a\", \"upstream\": $3, \"address\": \"127.0.0.1\", \"port\": $4, \"leaving\": false}"
}
cat >"$work/sidecar.json" <<JSON
{"instance": "sidecar", "zone": "local-a", "upstream": "drafting", "kind": "MODEL_ENGINE", "backEnd": "$engine",
 "listen": {"address": "127.0.0.1", "port": $((base + 20))},
 "operations": {"address": "127.0.0.1", "port": $((base + 21))},
 $logging, $key, "capacity": $concurrency, "queueLimit": 200, "drainSeconds": 10}
JSON
cat >"$work/router.json" <<JSON
{"instance": "router", "zone": "local-a", "callers": {"address": "127.0.0.1", "port": $((base + 10))},
 "admin": {"address": "127.0.0.1", "port": $((base + 11))},
 "operations": {"address": "127.0.0.1", "port": $((base + 12))},
 $logging, "instanceList": "$list", $key,
 "operators": [{"name": "local", "tokenHash": "6192ccc03300377af069a3cb9432f7a617cb80bdd3d950b36c0fcc8e8d7f1176"}],
 "consoleKey": "bench-fleet-console-key-of-32-bytes", "secureCookies": false, "drainSeconds": 10}
JSON
run log "http://127.0.0.1:$((base + 1))/faults" standin log --port "$base" --admin-port $((base + 1))
run list "http://127.0.0.1:$((base + 3))/faults" standin instances --port $((base + 2)) --admin-port $((base + 3))
run engine "$engine/health" standin engine --port $((base + 4)) --admin-port $((base + 5)) \
  --model draft-small --batch-size "$concurrency" --token-millis "$token_millis"
register sidecar SIDECAR '"drafting"' $((base + 20))
run sidecar "http://127.0.0.1:$((base + 21))/health" sidecar --settings "$work/sidecar.json"
register router ROUTER null $((base + 10))
run router "http://127.0.0.1:$((base + 12))/health" router --settings "$work/router.json"
SNIPELOOM_TOKEN=operator-local bin/snipeloom config publish --base -1 --admin "http://127.0.0.1:$((base + 11))" \
  examples/local/configuration.json >"$work/publish.log"
await() { # URL: waits until it answers with success
  for _ in $(seq 600); do
    curl -fs -o /dev/null "$1" && return
    sleep 0.1
  done
  echo "no answer from $1; see the logs in $work" >&2
  exit 1
}
await "http://127.0.0.1:$((base + 21))/ready"
await "http://127.0.0.1:$((base + 12))/ready"
echo "Concurrency $concurrency, $requests requests after as many to warm up, a token each $token_millis ms."
echo "JVM options: ${SNIPELOOM_JAVA_OPTS:-none}. Load average before: $(cut -d' ' -f1-3 /proc/loadavg); $(nproc) processors."
echo
load --url "$engine" --model draft-small --stream --head --row "direct, streamed"
load --url "$router" --model draft-small --stream --key sk-kilimanjaro-local --row "router, streamed"
load --url "$engine" --model draft-small --row "direct, whole"
load --url "$router" --model draft-small --key sk-kilimanjaro-local --row "router, whole"
alone --url "$engine" --model draft-small --row "direct, one at a time"
alone --url "$router" --model draft-small --key sk-kilimanjaro-local --row "router, one at a time"
sleep 5
idle_seconds=20
sidecar_before=$(cpu_ticks sidecar)
router_before=$(cpu_ticks router)
sleep "$idle_seconds"
ticks=$(getconf CLK_TCK)
share() { awk -v a="$1" -v b="$2" -v s="$idle_seconds" -v t="$ticks" 'BEGIN {printf "%.2f", 100 * (b - a) / t / s}'; }
sidecar_idle=$(share "$sidecar_before" "$(cpu_ticks sidecar)")
router_idle=$(share "$router_before" "$(cpu_ticks router)")
echo
echo "| process | start-up ms | resident MB after the runs | idle % of a core over $idle_seconds s |"
echo "|---|---|---|---|"
for name in router sidecar engine log list; do
  idle=""
  [ "$name" = sidecar ] && idle=$sidecar_idle
  [ "$name" = router ] && idle=$router_idle
  echo "| $name | ${started_ms[$name]} | $(rss_mb "$name") | $idle |"
done
