#!/usr/bin/env bash
# Most daemons of a failure domain are killed at the same moment, the one that reads the store among
# them. Tables that are published right after that are in force at all that are left within 2 s, the
# users' strictest bound.
PORTS=27000
. "$(dirname "$0")/common.sh"
N=${N:-14}
put_tables () {
  echo "{\"Version\":\"r$1\",\"Routes\":[{\"Name\":\"stock\",\"Host\":\"h.example\",\"PathPrefix\":\"/s/\",\"Kind\":\"safe\",\"Timeout\":\"3000ms\",\"TargetLatency\":\"1500ms\",\"Priority\":2,\"Service\":\"stock\",\"MaxAttempts\":2}$2],\"Services\":[{\"Name\":\"stock\",\"HealthPath\":\"/health\",\"MaxConns\":330}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}" >"$DIR/config.json"
  put_record keyed.op config "$DIR/config.json"
}
added_route () { echo ",{\"Name\":\"$1\",\"Host\":\"h.example\",\"PathPrefix\":\"/$1/\",\"Kind\":\"safe\",\"Timeout\":\"3s\",\"TargetLatency\":\"1s\",\"Priority\":2,\"Service\":\"stock\",\"MaxAttempts\":2}"; }
all_serve () { local i path=$1; shift; for i in "$@"; do [ "$(native_request $i "t$RANDOM$RANDOM" "$path")" = 200 ] || return 1; done; }
reads () { native_metric "$1" gentian_store_call_seconds_count; }

start_store
put_tables 3 ""
start_upstream 0 stock
left=($(seq 1 $N))
for i in "${left[@]}"; do start_native $i d1; done
check "all daemons serve" wait_for 25 all_serve /s/1 "${left[@]}"
# Times that a daemon began to read the store with all registrations.
all_reads () { cat "$DIR"/inst-*.log | grep -c 'GS5110 .* all=yes'; }
before=$(all_reads)
version=4
# Each round kills the first half of those that are left; the last one leaves a single daemon.
while [ ${#left[@]} -gt 1 ]; do
  sleep 4 # membership is settled
  killed=("${left[@]:0:$(((${#left[@]} + 1) / 2))}"); left=("${left[@]:$(((${#left[@]} + 1) / 2))}")
  for i in "${killed[@]}"; do kill -KILL "$(pid_of inst-$i)"; done
  put_tables $version "$(added_route "v$version")"; at=$(date +%s%3N)
  wait_for 8 all_serve "/v$version/1" "${left[@]}"
  at_most "time until ${#left[@]} daemons have new tables after the loss of ${#killed[@]}, in ms" $(($(date +%s%3N) - at)) 2000
  version=$((version + 1))
done
equal "no daemon that takes over reads all registrations again" "$(($(all_reads) - before))" 0
