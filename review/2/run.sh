#!/usr/bin/env bash
# A machine is stopped in a planned way and does not answer requests that it has read and that wait
# for a slot. See claim.txt.
. "$(dirname "$0")/../lib.sh"
REQUESTS=24

prepare 40
publish 3 directory "$(route lookups /m/ safe 6000 4000 directory 2)"
server directory-1 directory a
daemons=(); zones=(a b c)
for i in 1 2 3; do daemons+=(front-$i); daemon front-$i ${zones[i % 3]}; done
for name in "${daemons[@]}"; do
  wait_for 15 is_ready $name || cannot_run "$name is not ready"
done
wait_for 10 serves front-2 /m/w20/b1500/member || cannot_run "front-2 does not serve"
sleep 3 # calm for StableWindow

[ "$TROUBLE" = 0 ] || kill_one TERM front-2
# Clients that asked for addresses just before still use this one: the stated Ttl is 1.5 s, and some
# keep an answer three times as long.
sleep 1.8
for i in $(seq $REQUESTS); do ask_later front-2 GET /m/w900/b1500/member "lookup$i" 8000; done
join_clients
grep ' client id=lookup' "$RECORD"
[ "$TROUBLE" = 0 ] || { wait_for 7 bash -c "! kill -0 ${PID[front-2]} 2>/dev/null" && step "front-2 has ended"; }
step "lines of the daemon's log on the requests that wait:"
grep -h 'queued .* id=lookup' "$DIR/front-2.log" | sed 's/^[^ ]* [^ ]* //' >>"$RECORD"
# A request at which the server was at work when the machine ended is excused by the rule.
broken=0
for id in $(sed -nE 's/.* client id=(lookup[0-9]+) .* outcome=(closed|cut) .*/\1/p' "$RECORD"); do
  if grep -q " runs id=$id " "$RECORD"; then step "$id: excused, the server was at work on it"; else step "$id: never passed on, no answer"; broken=$((broken + 1)); fi
done
verdict "$broken" "$broken of $REQUESTS requests that the stopped machine had read were never passed on and got no answer"
