#!/usr/bin/env bash
# Failures under load: backend servers that fail, slow down or stop responding while their health
# check passes, requests that crash the backend server, and daemons that are killed or frozen.
# Callers must not lose answers to the first, a crashing request must not take down the pool, and
# failed daemons must not be named to callers.
PORTS=28000
. "$(dirname "$0")/common.sh"
N=6
start_fleet $N 6
write_tables "$DIR/t.yaml" 6 detection 50
publish "$DIR/t.yaml" $N
# load PREFIX SECONDS CALLER_ARGUMENTS...: runs the callers and prints their report
load () { "$BIN/standin/caller" -f "$(fleet_list $N)" -H h -i "$1-" -t 8 -s "$2" -w 2000 "${@:3}"; }
# ejected UPSTREAM: a daemon logged its ejection
ejected () { grep -q "GS3101.*upstream=$1 .*to=ejected" "$DIR"/inst-*.log; }

load warm 2 >/dev/null
backend_control 1 fail_percent=50
load grey 4 >"$DIR/grey"
check "a backend server that fails half of its work is ejected though its health check passes" ejected p-1
equal "callers see none of the failures" "$(json_number "$(cat "$DIR/grey")" whole)" "$(json_number "$(cat "$DIR/grey")" requests)"
backend_control 1 fail_percent=0
load heal 8 >/dev/null
check "it returns after it has recovered" grep -q "upstream=p-1 from=trial to=warming" "$DIR"/inst-*.log
backend_control 2 slow_factor=20
load slow 12 >/dev/null
check "one that is slow by 20 is ejected" ejected p-2
backend_control 2 slow_factor=1
backend_control 3 silent=2
load silent 5 >"$DIR/silent"
equal "connections gone silent cost no backend server its place" "$(grep -c "GS3101.*upstream=p-3 .*to=ejected" "$DIR"/inst-*.log | awk -F: '{s+=$2} END {print s}')" 0
equal "and no caller loses its answer" "$(json_number "$(cat "$DIR/silent")" whole)" "$(json_number "$(cat "$DIR/silent")" requests)"

load crash 8 >"$DIR/crash" & L=$!
sleep 1
for n in 1 2 3 4 5 6 1 2 3; do request $n "crasher" /crash >/dev/null; sleep 0.3; done
crashes=$(for i in 0 1 2 3 4 5; do backend_stats $i | sed -n 's/crashes //p'; done | paste -sd+ | bc)
at_most "backend servers crashed by a request that is sent again through every daemon" "$crashes" 2
request 2 "crasher" /crash >/dev/null
equal "it is refused as not run after the crashes" "$(verdict_of)" not-run
wait $L
equal "requests that shared a backend server with it are served" "$(json_number "$(cat "$DIR/crash")" whole)" "$(json_number "$(cat "$DIR/crash")" requests)"

# named DAEMONS NUMBER: one of the daemons names the daemon NUMBER in an address lookup
named () { local i; for i in $1; do curl -s --noproxy '*' "http://$(entry_of "$i")/v1/entries?host=h&path=/" | grep -q "\"inst-$2\"" && return 0; curl -s --noproxy '*' "http://$(entry_of "$i")/v1/entries" | grep -q "\"inst-$2\"" && return 0; done; return 1; }
unnamed () { ! named "$1" "$2"; }
# time_unnamed DAEMONS NUMBER: waits until none of the daemons names it, and prints the time in ms
time_unnamed () { local begin; begin=$(date +%s%3N); wait_for 15 unnamed "$1" "$2" || return 1; echo $(($(date +%s%3N) - begin)); }
kill -KILL "$(pid_of inst-6)"
at_most "a dead daemon is no longer named, in ms" "$(time_unnamed "1 2 3 4 5" 6)" 4000
kill -STOP "$(pid_of inst-5)"
at_most "a frozen daemon is no longer named, in ms" "$(time_unnamed "1 2 3 4" 5)" 4000
kill -CONT "$(pid_of inst-5)"
check "when it resumes it is named again" wait_for 15 named "1 2 3 4" 5
kill -KILL "$(pid_of inst-1)" "$(pid_of inst-2)" "$(pid_of inst-3)"
sleep 1
load half 5 -b "$(control_list 6)" -o 30 >"$DIR/half"
echo "# $(cat "$DIR/half")"
equal "with half of the daemons killed at once no answer is wrong and nothing runs twice" "$(json_number "$(cat "$DIR/half")" wrong) $(json_number "$(cat "$DIR/half")" twice)" "0 0"
at_most "requests without a complete answer after half of the daemons were killed, in 100" "$(echo "100 - 100 * $(json_number "$(cat "$DIR/half")" whole) / $(json_number "$(cat "$DIR/half")" requests)" | bc)" 10
