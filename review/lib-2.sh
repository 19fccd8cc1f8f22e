# Shell functions of this review's scripts: they start the daemon of the deploy file and the
# stand-ins of review/standin-2 on loopback, and end what they started. CASE is the case's folder.
set -u
CASE=$(cd "$CASE" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.."
KIT=${KIT:-build/review-2/kit}
DIR=$(mktemp -d)
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
PIDS=()
# Without quotas the platform leaves these sections of the template out.
QUOTAS='s|{{#Bounds.Quota[A-Za-z]*}}.*||'
: >"$RECORD"
[ -x "$KIT" ] && [ -x target/gentianscaled ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
PORT=$("$KIT" ports 120) || exit 2
STORE=$PORT
now () { "$KIT" now; }
note () { echo "$(now) $*" >>"$RECORD"; }
stop_all () {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] && echo "kept $DIR" || rm -rf "$DIR"
}
trap stop_all EXIT
# finish CODE TEXT: writes the result and ends the script
finish () { note "result: $2"; echo "$2"; exit "$1"; }
# wait_for SECONDS COMMAND...
wait_for () {
  local end=$((SECONDS + $1)); shift
  until "$@" >/dev/null 2>&1; do [ "$SECONDS" -lt "$end" ] || return 1; sleep 0.05; done
}
start_store () { "$KIT" store "$STORE" & PIDS+=($!); sleep 0.2; }
# put_config FILE: publishes a configuration; prints the store's status and the time
put_config () { local out; out=$("$KIT" put "$STORE" keyed.op config "$1"); note "config $(sed 's/.*"Version":"\([^"]*\)".*/\1/' "$1") acknowledged: $out"; }
# start_upstream NUMBER SERVICE ZONE WORK_MS [BORN_MS]
start_upstream () { "$KIT" upstream $((PORT + 1 + $1)) "i-$2-$1" "$2" "$3" "$STORE" "$4" "$RECORD" ${5:-} & PIDS+=($!); eval "UPSTREAM_$1=$!"; }
# Numbers of the machines whose Control addresses are the seeds.
SEEDS=(1 2 3)
seeds_json () { local s out=; for s in "${SEEDS[@]}"; do out="$out${out:+, }\"127.0.0.1:$(($(front_of $s) + 2))\""; done; echo "[$out]"; }
front_of () { echo $((PORT + 20 + 10 * $1)); }
# write_settings NUMBER ZONE: fills in deploy/settings.yaml as the platform does
write_settings () {
  local base; base=$(front_of "$1")
  sed -e "s|{{Node}}|front-$1|; s|{{Zone}}|$2|; s|{{Ip}}|127.0.0.1|; s|{{Listen.Front}}|127.0.0.1:$base|" \
    -e "s|{{Listen.Ready}}|127.0.0.1:$((base + 1))|; s|{{Listen.Control}}|127.0.0.1:$((base + 2))|" \
    -e "s|{{Listen.Directory}}|127.0.0.1:$((base + 3))|; s|{{PortRange.0}}|$((base + 4))|" \
    -e "s/{{Seeds|json}}/$(seeds_json)/" \
    -e "s|{{Platform.Address}}|127.0.0.1:$STORE|; s|{{Bounds.Grace}}|6s|; s|{{Bounds.RetryBudgetRatio}}|0.2|" \
    -e "s|{{Limits.CpuShare}}|0.2|; s|{{Bounds.RetryBudgetSlack}}|56|; s|{{Bounds.BudgetWindow}}|10s|" \
    -e "s|{{Bootstrap}}|${BOOTSTRAP:-true}|" -e "$QUOTAS" deploy/settings.yaml >"$DIR/front-$1.yaml"
}
# start_front NUMBER ZONE: starts the daemon with the command of the deploy file
start_front () {
  write_settings "$1" "$2"
  GENTIANSCALE_NODE_FILE="$DIR/front-$1.yaml" target/gentianscaled >>"$DIR/front-$1.log" 2>&1 & PIDS+=($!); eval "FRONT_$1=$!"
}
# request NUMBER METHOD PATH DEADLINE_MS: sends one request, prints its id, status, stamp and body
SENT=0
request () {
  local id out
  id=q$$-$BASHPID-$((SENT += 1))-$RANDOM
  note "sent to=front-$1 id=$id $2 $3"
  out=$("$KIT" request "$(front_of "$1")" "$id" "$2" "$3" "$4" "${5:-}")
  note "got from=front-$1 id=$id $out"
  echo "$id $out"
}
serves () { request "$1" GET "$2" 3000 | grep -q ' 200 aa.bb '; }
