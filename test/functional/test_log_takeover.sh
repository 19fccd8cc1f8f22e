#!/usr/bin/env bash
# All daemons of a failure domain but one are killed at the same moment, among them those that read
# the log. Tables that are accepted after that are in force at the one that is left within 9 s.
PORTS=26000
. "$(dirname "$0")/common.sh"
N=8
start_platform
start_backend 0 p-0; start_backend 1 p-1
for ((i = 1; i <= N; i++)); do start_daemon $i d1; done
for ((i = 1; i <= N; i++)); do wait_for 30 sees_members $i $N || not_ok start "daemon $i sees fewer than $N members"; done
write_tables "$DIR/t.yaml" 2
publish "$DIR/t.yaml" $N
# The daemon that has read the log the least does not read it for the others.
before=(); for ((i = 1; i <= N; i++)); do before[i]=$(metric_of $i gentian_log_reads_total); done
sleep 3
left=1 least=1000000 most=0
for ((i = 1; i <= N; i++)); do n=$(($(metric_of $i gentian_log_reads_total) - before[i])); if [ $n -lt $least ]; then least=$n; left=$i; fi; [ $n -le $most ] || most=$n; done
check "a daemon leaves reading the log to others ($least reads in 3 s, others $most)" test $((least + 10)) -le "$most"
for ((i = 1; i <= N; i++)); do [ $i = $left ] || kill -KILL "$(pid_of inst-$i)"; done
# One that knows no other accepts the edit, so that no message says anything of it.
write_settings 20 d2; sed -i 's/^seeds:.*/seeds: []/' "$DIR/inst-20.yaml"
"$BIN/gentianscaled" --settings "$DIR/inst-20.yaml" >>"$DIR/inst-20.log" 2>&1 & record_pid inst-20 $!
wait_for 15 has_revision 20 w "$(revision_of $left w)" || not_ok start "daemon 20 lacks the revision"
write_tables "$DIR/a.yaml" 2 detection
ctl 20 w submit "$DIR/a.yaml" >/dev/null || not_ok start "the edit is refused"
at=$(date +%s%3N)
wait_for 20 has_revision $left w "$(revision_of 20 w)"
at_most "time until the daemon that is left has the new tables, in ms" $(($(date +%s%3N) - at)) 9000
