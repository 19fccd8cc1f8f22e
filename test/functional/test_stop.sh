#!/usr/bin/env bash
# A planned stop of a daemon on the users' platform, while more requests wait for a server than it
# can run until the end. Each request that the daemon has read gets an answer.
PORTS=27000
. "$(dirname "$0")/common.sh"
start_store
echo '{"Version":"r3","Routes":[{"Name":"lookups","Host":"h.example","PathPrefix":"/s/","Kind":"safe","Timeout":"6000ms","TargetLatency":"4000ms","Priority":2,"Service":"stock","MaxAttempts":2},{"Name":"orders","Host":"h.example","PathPrefix":"/o/","Kind":"unsafe","Timeout":"6000ms","TargetLatency":"4000ms","Priority":2,"Service":"stock","MaxAttempts":2}],"Services":[{"Name":"stock","HealthPath":"/health","MaxConns":330}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}' >"$DIR/config.json"
put_record keyed.op config "$DIR/config.json"
start_upstream 0 stock 20
for i in 1 2 3; do start_native $i "d$i"; done
for i in 1 2 3; do wait_for 15 native_ready $i || not_ok start "daemon $i is not ready"; done
served () { [ "$(native_request "$1" "id$RANDOM" /s/1)" = 200 ]; }
wait_for 10 served 2
# Its work takes longer from now on than the daemons know.
upstream_control 0 work=900

# send ID PATH CURL_ARGUMENTS...: sends a request to daemon 2 in the background; its status, and the
# time until it came, go to a file of its own.
clients=()
send () {
  local id=$1 path=$2; shift 2
  curl -s --noproxy '*' -m 9 -o /dev/null -w '%{http_code} %{time_total}' -H "Host: h.example" -H "Gentianscale-Request-Id: $id" -H "Gentianscale-Deadline-Ms: 8000" "$@" "http://127.0.0.1:$((PORTS + 220))$path" >"$DIR/status-$id" & clients+=($!)
}
# statuses PREFIX STATUS: prints how many of these requests got the status
statuses () { local f; for f in "$DIR"/status-"$1"*; do cut -d' ' -f1 "$f"; echo; done | grep -c "^$2"; }

kill -TERM "$(pid_of inst-2)"; term=$(date +%s%3N)
sleep 1.8
for i in $(seq 16); do send "wait$i" /s/1; done
for i in $(seq 8); do send "once$i" /o/1 -d order; done
# One that is received in part: its head says more bytes than come.
exec 5<>"/dev/tcp/127.0.0.1/$((PORTS + 220))"
printf 'POST /o/1 HTTP/1.1\r\nHost: h.example\r\nGentianscale-Request-Id: part\r\nContent-Length: 9\r\n\r\nhalf' >&5
sleep 0.7 # 2.5 s after the signal
for i in 1 2 3 4; do send "late$i" /o/1 -d order; done
partial=$(timeout 5 head -1 <&5 | tr -d '\r'); exec 5>&-
for pid in "${clients[@]}"; do wait "$pid"; done
wait "$(pid_of inst-2)"; stopped=$(($(date +%s%3N) - term))
equal "a request that is received in part is refused" "$partial" "HTTP/1.1 503 Service Unavailable"
for kind in wait once late; do
  equal "no request ($kind) ends without an answer in a planned stop" "$(statuses $kind 000)" 0
done
check "most of the requests that came early are served" test "$(statuses wait 200)" -ge 8
check "the daemon ends within its limit ($stopped ms of 6000)" test "$stopped" -le 6000
# The server has answered at most four at a time, so the others can have got a refusal only.
refused=$(($(statuses wait 503) + $(statuses once 503) + $(statuses late 503)))
check "requests that had no time to run are refused as not run ($refused)" test "$refused" -ge 4
early=$(awk '$1 == 503 && $2 > 3.8 { n++ } END { print n + 0 }' <(for f in "$DIR"/status-wait* "$DIR"/status-once*; do cat "$f"; echo; done))
equal "and while their callers have time to use another daemon" "$early" 0
