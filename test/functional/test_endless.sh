#!/usr/bin/env bash
# Backend servers whose bytes never end, in a head or in a body: the daemon's memory stays bounded, the caller gets a
# truthful answer by its deadline, the connection is closed, and the next request is served.
PORTS=30000
. "$(dirname "$0")/common.sh"
HOWS="line lines interim raw drip chunk trailers chunked unframed"
# a pool each, so that what one shows of its server keeps no other request from it
route () { echo "{\"Name\":\"$1\",\"Host\":\"h.example\",\"PathPrefix\":\"/$1/\",\"Kind\":\"$2\",\"Timeout\":\"3000ms\",\"TargetLatency\":\"1500ms\",\"Priority\":1,\"Service\":\"$1\",\"MaxAttempts\":2}"; }
service () { echo "{\"Name\":\"$1\",\"HealthPath\":\"/health\",\"MaxConns\":330}"; }
ROUTES=$(route s safe); SERVICES=$(service s)
for how in $HOWS; do ROUTES+=,$(route "e-$how" unsafe); SERVICES+=,$(service "e-$how"); done
echo "{\"Version\":\"r3\",\"Routes\":[$ROUTES],\"Services\":[$SERVICES],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}" >"$DIR/config.json"
start_store
put_record keyed.op config "$DIR/config.json"
"$BIN/standin/endless" $((PORTS + 100)) >"$DIR/endless.out" 2>>"$DIR/endless.log" & record_pid endless $!
for how in $HOWS; do
  echo "{\"Service\":\"e-$how\",\"Address\":\"127.0.0.1:$((PORTS + 100))\",\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":4,\"State\":\"ready\",\"WarmupLeft\":\"0ms\",\"Seq\":1,\"born\":1}" >"$DIR/beat.json"
  put_record keyed.servers "endless-$how" "$DIR/beat.json"
done
start_upstream 1 s
# what the sanitizer holds back of freed memory is not the daemon's
ASAN_OPTIONS+=:quarantine_size_mb=1 start_native 1 d1; DAEMON=$!
serves () { [ "$(native_request 1 "id$RANDOM$RANDOM" /s/1)" = 200 ]; }
check "the daemon serves" wait_for 15 serves
resident_kb () { awk '/VmRSS/{print $2}' "/proc/$DAEMON/status"; }
# try HOW CURL_ARGUMENTS...: sets STATUS, EXIT, TOOK (ms)
try () {
  local how=$1 began; shift
  began=$(date +%s%3N)
  STATUS=$(curl -s --noproxy '*' -m 9 -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "Gentianscale-Request-Id: id$how$RANDOM" -H "Gentianscale-Deadline-Ms: 2000" "$@" "http://127.0.0.1:$((PORTS + 210))/e-$how/$how"); EXIT=$?
  TOOK=$(($(date +%s%3N) - began))
}
native_request 1 warm /s/1 >/dev/null
before=$(resident_kb)
for how in line lines interim raw drip chunk trailers; do
  try $how
  check "$how: the caller is told that it may have run" test "$STATUS" = 502 -o "$STATUS" = 504
  at_most "$how: by its deadline, in ms" "$TOOK" 2500
  check "$how: the connection is closed" wait_for 2 grep -q "^$how " "$DIR/endless.out"
done
for how in chunked unframed; do
  try $how
  check "$how: the answer does not look complete" test "$EXIT" != 0
  at_most "$how: it ends by the deadline, in ms" "$TOOK" 2500
  check "$how: the connection is closed" wait_for 2 grep -q "^$how " "$DIR/endless.out"
done
twice () { [ "$(grep -c "^chunked " "$DIR/endless.out")" = 2 ]; }
try chunked --limit-rate 20k -m 1
check "a caller that reads slowly and leaves: the connection is closed" wait_for 2 twice
at_most "memory that it took, in KB" $(($(resident_kb) - before)) 16000
check "the next request is served" serves
check "the daemon is the one that was started" kill -0 "$DAEMON"
