#!/usr/bin/env bash
# Configuration: accepted once, in force everywhere within 9 s, never reverted.
PORTS=26000
. "$(dirname "$0")/common.sh"
N=6
start_fleet $N 2
write_tables "$DIR/t.yaml" 2
publish "$DIR/t.yaml" $N
in_force () { local i; for i in $1; do wait_for 9 has_revision "$i" w "$2" || return 1; done; }
everywhere="1 2 3 4 5 6"

write_tables "$DIR/a.yaml" 2 detection
write_tables "$DIR/b.yaml" 2 false-ejection
base=$(revision_of 1 w)
ctl 1 w -b "$base" submit "$DIR/a.yaml" >"$DIR/a.out" 2>&1 & A=$!
ctl 4 w -b "$base" submit "$DIR/b.yaml" >"$DIR/b.out" 2>&1 & B=$!
wait $A; ra=$?; wait $B; rb=$?
equal "of two operators one is accepted and one is told of the conflict" "$(echo "$ra $rb" | tr ' ' '\n' | sort | tr '\n' ' ')" "0 3 "
check "the conflict names the rows that clash" grep -q "pool p:" "$DIR/a.out" "$DIR/b.out"
check "the winner is in force everywhere within 9 s" in_force "$everywhere" "$(revision_of 1 w)"

platform_control lose_answers=1
check "a lost append answer is settled without asking" ctl 2 w submit "$DIR/t.yaml"
revision=$(revision_of 2 w)
check "a submission that is sent again has one effect" ctl 2 w -s same -b "$revision" submit "$DIR/a.yaml"
after=$(revision_of 2 w)
check "the second time" ctl 3 w -s same -b "$revision" submit "$DIR/a.yaml"
equal "it made no second revision" "$(revision_of 3 w)" "$after"

equal "another workspace's credential is refused" "$("$BIN/gentianctl" -u "$(admin_of 1)" -w other -c "$DIR/credential-w" submit "$DIR/t.yaml" >/dev/null 2>&1; echo $?)" 5
equal "another workspace's route is refused" "$(ctl 1 other submit "$DIR/t.yaml" >/dev/null 2>&1; echo $?)" 3

for words in show pools members streams "explain h /refunds" "diff $DIR/t.yaml"; do
  check "gentianctl ${words%% *} answers" ctl 2 w $words
done
equal "and says which pool serves a path" "$(ctl 2 w explain h /refunds | grep -c '"route": "never"')" 1
equal "a diff against what is in force is empty" "$(ctl 2 w show | tail -n +2 >"$DIR/now.yaml"; ctl 2 w diff "$DIR/now.yaml")" ""
timeout 5 "$BIN/gentianctl" -u "$(admin_of 1)" -w w -c "$DIR/credential-w" watch >"$DIR/watch" 2>/dev/null
check "watch prints the revision in force" grep -q "revision $(revision_of 1 w)" "$DIR/watch"

platform_control outage=1
equal "while the log is away an edit is refused, not lost" "$(ctl 1 w submit "$DIR/t.yaml" >/dev/null 2>&1; echo $?)" 4
revision=$(revision_of 1 w)
kill -KILL "$(pid_of inst-5)"; start_daemon 5 d2
check "a newcomer gets the tables from peers while the log is away" wait_for 15 has_revision 5 w "$revision"
check "and serves" wait_for 15 is_ready 5
equal "a request through it" "$(request 5 n1 /size/10 | cut -d' ' -f1)" 200
platform_control outage=0
check "the log is back: an edit goes in force everywhere" ctl 5 w submit "$DIR/b.yaml"
check "within 9 s" in_force "$everywhere" "$(revision_of 5 w)"

platform_control retention_ms=4000
sleep 5
ctl 2 w submit "$DIR/a.yaml" >/dev/null; revision=$(revision_of 2 w)
check "a snapshot is appended before records expire" wait_for 10 grep -q "GS5103" "$DIR"/inst-*.log
sleep 5
for i in 1 2 3 4; do kill -KILL "$(pid_of inst-$i)"; done
sleep 0.5
for i in 1 2 3 4; do start_daemon $i "d$((i % 3))"; done
for i in 1 2 3 4; do check "after retention passed the last edit, newcomer $i has it" wait_for 15 has_revision $i w "$revision"; done

for i in 1 2 3 4 5 6; do kill -KILL "$(pid_of inst-$i)"; done
sleep 0.3
for i in 1 2 3; do start_daemon $i "d$((i % 3))"; done
for i in 1 2 3; do check "with all daemons replaced at once, newcomer $i reads the snapshot" wait_for 15 has_revision $i w "$revision"; done
platform_control "trim=config"; platform_control outage=1
kill -KILL "$(pid_of inst-1)" "$(pid_of inst-2)" "$(pid_of inst-3)"; sleep 0.3
start_daemon 4 d1; sleep 3
equal "a newcomer with neither log nor peers does not invite callers" "$(curl -s --noproxy '*' -o /dev/null -w '%{http_code}' "http://$(entry_of 4)/v1/entries")" 503
