#!/usr/bin/env bash
# Verdicts. For each point of a request at which a backend server can fail, the verdict that the
# caller gets must agree with the number of executions, with and without a forward to another
# daemon.
PORTS=24000 ATTEMPT_MS=400
. "$(dirname "$0")/common.sh"
start_fleet 2 1
write_tables "$DIR/t.yaml" 1 balanced 0
publish "$DIR/t.yaml" 2

# expect NAME FAULT STATUS VERDICT RUNS: sends a request that may run once through each daemon, with
# the fault set
expect () {
  local name=$1 fault=$2 status=$3 verdict=$4 count=$5 daemon
  for daemon in 1 2; do
    backend_control 0 "$fault"
    request $daemon "$name-$daemon" /once -d x >"$DIR/out"
    backend_control 0 "${fault%%=*}=0"
    equal "$name through daemon $daemon" "$(awk '{print $1}' "$DIR/out") $(verdict_of) $(runs "$name-$daemon" 1)" "$status $verdict $count"
    sleep 0.7
  done
}
expect whole twice=0 200 "" 1
expect failed fail_percent=100 500 ran 1
expect reset reset_percent=100 502 may-have-run 1
expect silent silent=1 504 may-have-run 1
expect truncated truncate=1 502 may-have-run 1
expect shed shed=1 503 not-run 0
expect twice twice=1 200 "" 1
sleep 1
request 1 after-twice /size/50 >"$DIR/out"
equal "the answer after one that was sent twice is its own" "$(cut -d' ' -f3 "$DIR/body" | head -1)" "run=after-twice"

for daemon in 1 2; do
  request $daemon headers /size/5 >"$DIR/out"
  equal "repeated response headers are passed on repeated or joined, through daemon $daemon" "$(grep -ic '^set-cookie: [abc]=' "$DIR/head") $(tr -d '\r' <"$DIR/head" | grep -i '^vary')" "3 Vary: x, y"
done
# A failure larger than the daemon's buffer must not be cut to what the buffer holds and sent as whole.
backend_control 0 fail_percent=100
for daemon in 1 2; do
  equal "a large failure is passed on, through daemon $daemon" "$(request $daemon bigfail-$daemon /once/big/3000000 -d x | cut -d' ' -f1)" 500
  check "and its body is whole, through daemon $daemon" test "$(wc -c <"$DIR/body")" -gt 3000000
  sleep 0.7
done
backend_control 0 fail_percent=100; backend_control 0 truncate=1
equal "a large failure that is truncated aborts the caller's connection" "$(request 1 bigfail /once/big/3000000 -d x | cut -d' ' -f1)" 000
backend_control 0 fail_percent=0; backend_control 0 truncate=0
backend_control 0 truncate=1
equal "a large answer that is truncated aborts the caller's connection" "$(request 1 big /big/3000000 | cut -d' ' -f1)" 000
backend_control 0 truncate=0
kill -KILL "$(pid_of p-0)"; sleep 0.2
for daemon in 1 2; do
  request $daemon down-$daemon /once -d x >"$DIR/out"
  equal "unreachable backend server through daemon $daemon" "$(verdict_of)" not-run
done
