#!/usr/bin/env bash
# A daemon with as many callers as its descriptors are enough for. It says so wherever it is asked,
# refuses further callers at once, and goes on serving those that it has.
PORTS=27000
. "$(dirname "$0")/common.sh"
start_store
echo '{"Version":"r3","Routes":[{"Name":"lookups","Host":"h.example","PathPrefix":"/s/","Kind":"safe","Timeout":"3000ms","TargetLatency":"1500ms","Priority":2,"Service":"stock","MaxAttempts":2}],"Services":[{"Name":"stock","HealthPath":"/health","MaxConns":330}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}' >"$DIR/config.json"
put_record keyed.op config "$DIR/config.json"
for i in 0 1 2 3; do start_upstream $i stock; done
# More callers than this daemon has descriptors for.
write_native_settings 1 d1; echo "max_callers: 60000" >>"$DIR/inst-1.yaml"
(ulimit -n 600; exec "$BIN/gentianscaled" --settings "$DIR/inst-1.yaml" >>"$DIR/inst-1.log" 2>&1) & record_pid inst-1 $!
start_native 2 d1
for i in 1 2; do wait_for 15 native_ready $i || not_ok start "daemon $i is not ready"; done
served () { [ "$(native_request "$1" "id$RANDOM$RANDOM" /s/1)" = 200 ]; }
for i in 1 2; do wait_for 10 served $i; done
resolves () { [ "$(native_resolve 2 d1 | grep -o '127.0.0.1:[0-9]*' | wc -l)" = "$1" ]; }
check "both daemons are listed" wait_for 3 resolves 2

limit=$(sed -n 's/.*GS1101 .*max_callers=\([0-9]*\).*/\1/p' "$DIR/inst-1.log")
check "the limit of callers is below that of descriptors ($limit of 600)" test "$limit" -ge 50 -a "$limit" -le 250
# Idle connections to its administration API, which use descriptors of the same process.
admin_fds=()
for ((i = 0; i < 500; i++)); do exec {fd}<>"/dev/tcp/127.0.0.1/$((PORTS + 214))" && admin_fds+=($fd); done
fds=()
for ((i = 0; i < ${limit:-400}; i++)); do exec {fd}<>"/dev/tcp/127.0.0.1/$((PORTS + 210))"; fds+=($fd); done
not_ready () { ! native_ready 1; }
check "a daemon at its limit is not ready" wait_for 2 not_ready
check "and is not listed, by itself or by others" wait_for 2 resolves 1
slowest=0 refused=0 told=0
for i in $(seq 30); do
  out=$(curl -s --noproxy '*' -m 9 -D "$DIR/head" -o /dev/null -w '%{http_code} %{time_total}' -H "Host: h.example" -H "Gentianscale-Request-Id: full$i" "http://127.0.0.1:$((PORTS + 210))/s/1")
  [ "${out% *}" = 503 ] && refused=$((refused + 1))
  grep -qi '^Retry-After: ' "$DIR/head" && told=$((told + 1))
  slowest=$(echo "${out#* } $slowest" | awk '{ print ($1 > $2) ? $1 : $2 }')
done
equal "further callers are refused" "$refused" 30
equal "and told when to come back" "$told" 30
at_most "time until the last of them is, in s" "$slowest" 1
# All callers at once: each request needs a descriptor for its upstream.
answered=0
for fd in "${fds[@]}"; do printf 'GET /s/1 HTTP/1.1\r\nHost: h.example\r\nGentianscale-Request-Id: c%s\r\n\r\n' "$fd" >&"$fd"; done
for fd in "${fds[@]}"; do read -r -t 5 line <&"$fd"; case "$line" in "HTTP/1.1 200"*) answered=$((answered + 1));; "HTTP/1.1 503"*) answered=$((answered + 1));; esac; done
equal "callers that it has are answered, all at once" "$answered" "$limit"
opened=$(ls "/proc/$(pid_of inst-1)/fd" | wc -l)
at_most "descriptors that it has open" "$opened" 599
at_most "threads that it has" "$(ls "/proc/$(pid_of inst-1)/task" | wc -l)" 100
measured () { curl -s --noproxy '*' --interface 127.0.0.2 -m 2 "http://127.0.0.1:$((PORTS + 214))/metrics" | grep -q '^gentian_requests_total '; }
check "its administration API answers another address than that of the idle connections" measured
for fd in "${fds[@]}" "${admin_fds[@]}"; do exec {fd}>&-; done
check "without these callers it is ready again" wait_for 5 native_ready 1
check "and listed" wait_for 3 resolves 2
check "and serves" served 1
