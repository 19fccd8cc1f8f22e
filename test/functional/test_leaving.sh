#!/usr/bin/env bash
# Backend servers that leave, and planned stops of daemons. A backend server gets no new requests
# once the instance list (within 3 s), its own responses or the tables (within 1 s) say that it
# leaves. A planned stop cuts no request, although downloads and never-repeat requests are in
# flight.
PORTS=27000
. "$(dirname "$0")/common.sh"
N=5
start_fleet $N 6
write_tables "$DIR/t.yaml" 6
publish "$DIR/t.yaml" $N
# executed_at NUMBER: number of run ids that the backend server executed
executed_at () { curl -s --noproxy '*' "http://127.0.0.1:$((PORTS + 1100 + $1))/control/runs" | wc -l; }
# load PREFIX SECONDS CALLER_ARGUMENTS...: runs the callers and prints their report
load () { "$BIN/standin/caller" -f "$(fleet_list $N)" -H h -i "$1-" -t 6 -s "$2" -w 1000 "${@:3}"; }

load list 9 >"$DIR/load1" & L=$!
sleep 1
curl -s --noproxy '*' -X POST -H 'Content-Type: application/json' -d '[{"id":"p-1","state":"leaving"}]' "http://$PLATFORM/control/instances" >/dev/null
sleep 3; before=$(executed_at 1); sleep 2
equal "a backend server that the list names as leaving gets no new work after 3 s" "$(($(executed_at 1) - before))" 0
backend_control 2 leaving=1
sleep 1; before=$(executed_at 2); sleep 1
equal "one that says in its responses that it is leaving gets none" "$(($(executed_at 2) - before))" 0
ROW_STATE[3]=leaving; write_tables "$DIR/t2.yaml" 6; unset "ROW_STATE[3]"
ctl 2 w submit "$DIR/t2.yaml" >/dev/null
sleep 1; before=$(executed_at 3); wait $L
equal "one whose row in the tables says leaving gets none" "$(($(executed_at 3) - before))" 0
equal "no request failed because backend servers left" "$(json_number "$(cat "$DIR/load1")" not_run) $(json_number "$(cat "$DIR/load1")" may_have_run)" "0 0"
backend_control 2 leaving=0

"$BIN/standin/caller" -f "$(fleet_list $N)" -p "$(fleet_list $N)" -b "$(control_list 6)" -H h -i roll- -t 8 -s 42 -w 2000 -o 20 -k 30 -g 10 -G 8000000 >"$DIR/load2" 2>&1 & L=$!
sleep 1
for i in 1 2 3 4 5; do
  begin=$(date +%s%3N)
  kill -TERM "$(pid_of inst-$i)"
  wait "$(pid_of inst-$i)"; code=$?
  equal "daemon $i stops as planned with exit code 0" "$code" 0
  at_most "its stop, in ms" $(($(date +%s%3N) - begin)) 20000
  start_daemon $i "d$((i % 3))"
  wait_for 10 is_ready $i || not_ok "restart $i" "not ready"
done
wait $L
out=$(cat "$DIR/load2"); echo "# $out"
equal "a rolling restart under load cut nothing" "$(json_number "$out" cut)" 0
equal "and ran nothing twice" "$(json_number "$out" twice)" 0
equal "and gave no wrong answer" "$(json_number "$out" wrong)" 0
equal "no daemon reported a cut" "$(cat "$DIR"/inst-*.log | grep -c GS1104)" 0
