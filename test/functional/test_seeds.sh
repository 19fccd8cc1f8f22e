#!/usr/bin/env bash
# Daemons whose seeds are down find the fleet when the settings name others, with and without a
# signal, and when a seed returns. Until then they do not take themselves for the whole fleet.
PORTS=27600
. "$(dirname "$0")/common.sh"
control_of () { echo "\"127.0.0.1:$((PORTS + 202 + 10 * $1))\""; }
# set_seeds DAEMON SEED...: rewrites the seeds in the daemon's settings
set_seeds () {
  local file="$DIR/inst-$1.yaml" seeds="" i; shift
  for i in "$@"; do seeds+="${seeds:+, }$(control_of "$i")"; done
  sed -e "s|^seeds:.*|seeds: [$seeds]|" "$file" >"$file.new" && mv "$file.new" "$file"
}
# start_with DAEMON SEED...
start_with () {
  local n=$1
  write_native_settings "$n" "d$((n % 3))"; set_seeds "$@"
  "$BIN/gentianscaled" --settings "$DIR/inst-$n.yaml" >>"$DIR/inst-$n.log" 2>&1 & record_pid "inst-$n" $!
}
# sees DAEMON COUNT: the last change of its members that it logged has so many alive
sees () { [ "$(grep -o "GS4101 - member-state-changed alive=[0-9]*" "$DIR/inst-$1.log" | tail -1 | sed 's/.*=//')" = "$2" ]; }
all_see () { local count=$1 i; shift; for i in "$@"; do sees "$i" "$count" || return 1; done; }

start_store
echo '{"Version":"r3","Routes":[],"Services":[]}' >"$DIR/config.json"; put_record keyed.op config "$DIR/config.json"
start_with 1 1; start_with 2 1; BOOTSTRAP=false start_with 3 8 9; BOOTSTRAP=false start_with 4 8 9
check "daemons with a living seed are one fleet" wait_for 10 all_see 2 1 2
sleep 4
check "daemons whose seeds are down are alone" all_see 1 3 4
set_seeds 3 1 2; kill -HUP "$(pid_of inst-3)"
check "one that gets new seeds and SIGHUP joins within 2 s" wait_for 2 all_see 3 1 2 3
set_seeds 4 1 2
check "one that gets new seeds without a signal joins within 4 s" wait_for 4 all_see 4 1 2 3 4
check "the change is logged" grep -q 'GS1107 - settings-read-again .*result="seeds-changed"' "$DIR/inst-4.log"
sed -i 's|^seeds:.*|seeds: ["nowhere"]|' "$DIR/inst-4.yaml"
check "an invalid file is logged with its field" wait_for 4 grep -q "GS1107 .*field seeds: found nowhere" "$DIR/inst-4.log"
check "and leaves the members as they are" all_see 4 1 2 3 4

start_with 5 6
sleep 4
check "a daemon whose seed starts later is alone" sees 5 1
start_with 6 1
check "and joins when it does" wait_for 5 all_see 6 1 2 3 4 5 6

# look PID: sets `threads` of the process, and `safe` to 1 if it ignores or catches SIGHUP. The file
# is read at once: between two reads the process may change.
look () {
  local line
  threads=1 safe=0
  while read -r line; do
    case "$line" in
      Threads:*) threads=${line##*[!0-9]} ;;
      SigIgn:* | SigCgt:*) safe=$((safe | 16#${line: -1} & 1)) ;;
    esac
  done <<<"$(cat "/proc/$1/status" 2>/dev/null)"
}
is_safe () { look "$1"; [ $safe = 1 ]; }
write_native_settings 7 d1
seen=0
for i in 1 2 3 4 5; do
  "$BIN/gentianscaled" --settings "$DIR/inst-7.yaml" >>"$DIR/inst-7.log" 2>&1 & record_pid inst-7 $!
  until=$(($(date +%s%3N) + 400))
  while [ "$(date +%s%3N)" -lt $until ]; do look $!; [ "$threads" -gt 1 ] && [ $safe = 0 ] && seen=$((seen + 1)); done
  wait_for 10 is_safe $! # the dynamic linker may take longer
  kill -HUP $!; sleep 0.1
  kill -0 $! 2>/dev/null || seen=$((seen + 1))
  kill -KILL $!; wait $! 2>/dev/null
done
equal "no SIGHUP ends a daemon that starts its services" "$seen" 0
