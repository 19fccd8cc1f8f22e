#!/usr/bin/env bash
# Never-repeat requests. A resend after a killed or paused daemon, a lost answer or an outage of the
# log must not execute the request a second time, and a verdict of not-run must be true.
PORTS=25000
. "$(dirname "$0")/common.sh"
N=6
start_fleet $N 6
write_tables "$DIR/t.yaml" 6
publish "$DIR/t.yaml" $N

# ticket_of DAEMON: looks up a ticket and prints it; the answer to the lookup is in $DIR/entries
ticket_of () { curl -s --noproxy '*' "http://$(entry_of "$1")/v1/entries?host=h&path=/refunds" >"$DIR/entries"; sed 's/.*"ticket":"\([^"]*\)".*/\1/' "$DIR/entries"; }
ticket_entry () { sed 's/.*"ticket_entry":{"address":"[0-9.]*:\([0-9]*\)".*/\1/' "$DIR/entries"; }

ticket=$(ticket_of 1)
equal "a request with a ticket runs" "$(request 1 t1 /refunds -d a -H "Gentian-Ticket: $ticket" | cut -d' ' -f1)" 200
cp "$DIR/body" "$DIR/first"
equal "its resend through another daemon gets the original answer" "$(request 4 t1 /refunds -d a -H "Gentian-Ticket: $ticket" | cut -d' ' -f1) $(cmp "$DIR/body" "$DIR/first" && echo same)" "200 same"
equal "and it ran once" "$(runs t1 6)" 1
request 2 t1 /refunds -d other -H "Gentian-Ticket: $ticket" >"$DIR/out"
equal "a ticket used for another request is refused" "$(cut -d' ' -f1 "$DIR/out")" 422
request 2 t2 /refunds -d a -H "Gentian-Ticket: ${ticket%?}x" >"$DIR/out"
equal "a forged ticket is refused as not run" "$(cat "$DIR/out") $(runs t2 6)" "400 not-run 0"

key="$(date +%s%3N)-k1"
equal "a request with a key runs" "$(request 3 k1 /refunds -d a -H "Idempotency-Key: $key" | cut -d' ' -f1)" 200
for n in 1 2 5; do
  equal "its resend through daemon $n does not run again" "$(request $n k1 /refunds -d a -H "Idempotency-Key: $key" | cut -d' ' -f1) $(runs k1 6)" "200 1"
done
request 1 old /refunds -d a -H "Idempotency-Key: 1600000000000-k" >"$DIR/out"
equal "a request with a key older than the log's records is rejected as may-have-run and not run" "$(verdict_of) $(runs old 6)" "may-have-run 0"

platform_control outage=1; sleep 0.3
begin=$(date +%s%3N)
request 1 out1 /refunds -d a -H "Idempotency-Key: $(date +%s%3N)-out" >"$DIR/out"
equal "a request with a key during an outage of the log is not run" "$(verdict_of) $(runs out1 6)" "not-run 0"
at_most "time until it is refused, in ms" $(($(date +%s%3N) - begin)) 2000
ticket=$(ticket_of 2)
equal "a request with a ticket runs during an outage of the log" "$(request 2 out2 /refunds -d a -H "Gentian-Ticket: $ticket" | cut -d' ' -f1)" 200
platform_control outage=0
platform_control lose_answers=4
key="$(date +%s%3N)-lost"
request 1 lost /refunds -d a -H "Idempotency-Key: $key" >"$DIR/out"
first=$(cut -d' ' -f1 "$DIR/out"); sleep 0.5
request 2 lost /refunds -d a -H "Idempotency-Key: $key" >"$DIR/out"
equal "a request with a key runs at most once when answers to appends are lost" "$([ "$(runs lost 6)" -le 1 ] && echo yes)" yes

"$BIN/standin/caller" -f "$(fleet_list $N)" -b "$(control_list 6)" -H h -i load- -t 8 -s 14 -o 100 -k 50 -w 3000 >"$DIR/load" 2>"$DIR/load.err" &
CALLER=$!
sleep 2; kill -KILL "$(pid_of inst-2)"
sleep 1; kill -STOP "$(pid_of inst-3)"
sleep 1; platform_control lose_answers=20
sleep 1; start_daemon 2 d2
sleep 2; kill -CONT "$(pid_of inst-3)"
sleep 1; platform_control outage=1; sleep 1.5; platform_control outage=0
kill -KILL "$(pid_of inst-5)"; sleep 1; start_daemon 5 d2
wait $CALLER
load=$(cat "$DIR/load"); echo "# $load"
equal "under kills, pauses, lost answers and outages nothing ran twice" "$(json_number "$load" twice)" 0
equal "and nothing with the verdict not-run had run" "$(json_number "$load" false_not_run)" 0
equal "and no answer was another's or partial" "$(json_number "$load" wrong)" 0
at_most "requests without a complete answer, in 100" "$(echo "100 - 100 * $(json_number "$load" whole) / $(json_number "$load" requests)" | bc)" 40
