# Shell functions of the review's cases, sourced by their run.sh: a small deployment on loopback. The
# daemons are started as deploy/system.toml says, with settings rendered from deploy/settings.yaml.
# A case's record.txt has what the clients sent and got, what the servers ran, and the steps.
CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
RECORD=$CASE/record.txt
PEER=${PEER:-build/review/peer}
DIR=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1}
PIDS=()
SEEDS= N_SEEDS=0
CLIENTS=()
declare -A PID FRONT READY CONTROL ADMIN

finish () {
  local code=$? pid
  for pid in "${PIDS[@]}" "${CLIENTS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] && cp -r "$DIR" "$KEEP"; rm -rf "$DIR"
  exit $code
}
trap finish EXIT
trap 'exit 2' INT TERM

cannot_run () { step "cannot run: $*"; exit 2; }
# step TEXT: a line of the record by the case itself
step () { echo "$(date +%s%3N) case $*" | tee -a "$RECORD"; }
# verdict BROKEN TEXT: ends the case
verdict () { if [ "$1" -gt 0 ]; then step "BROKEN: $2"; exit 1; fi; step "held: $2"; exit 0; }

# wait_for SECONDS COMMAND...: polls until the command succeeds
wait_for () {
  local end=$((SECONDS + $1)); shift
  until "$@" >/dev/null 2>&1; do [ "$SECONDS" -lt "$end" ] || return 1; sleep 0.05; done
}

started () { PID[$1]=$2; PIDS+=("$2"); }
kill_one () { kill "-$1" "${PID[$2]}"; step "signal $1 to $2"; }

# prepare PORTS: checks the programs, begins the record, takes ports for the store and the rest
prepare () {
  [ -x target/gentianscaled ] && [ -x build/review/store ] && [ -x $PEER ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }
  : >"$RECORD"
  mapfile -t PORTS < <($PEER ports "$1")
  [ "${#PORTS[@]}" = "$1" ] || cannot_run "no free ports"
  NEXT=0
  STORE=${PORTS[NEXT++]}
  build/review/store "$STORE" 2>>"$DIR/store.log" & started store $!
  wait_for 5 $PEER get "$STORE" /control || cannot_run "the store does not answer"
  step "trouble=$TROUBLE seeds of the daemons are their start times; $(date -u +%FT%TZ) $(uname -m)"
}

# route NAME PREFIX KIND TIMEOUT_MS TARGET_MS SERVICE MAX_ATTEMPTS: prints a route of host h.example
route () {
  echo "{\"Name\":\"$1\",\"Host\":\"h.example\",\"PathPrefix\":\"$2\",\"Kind\":\"$3\",\"Timeout\":\"$4ms\",\"TargetLatency\":\"$5ms\",\"Priority\":${PRIORITY:-2},\"Service\":\"$6\",\"MaxAttempts\":$7}"
}
# publish VERSION SERVICES ROUTE...: writes op/config
publish () {
  local version=$1 services="" routes name; shift
  for name in $1; do services+="${services:+,}{\"Name\":\"$name\",\"HealthPath\":\"/health\",\"MaxConns\":330,\"Protocol\":\"h1\",\"Tls\":false}"; done
  shift
  routes=$(printf '%s,' "$@")
  echo "{\"Version\":\"r$version\",\"Routes\":[${routes%,}],\"Services\":[$services],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}" >"$DIR/config.json"
  $PEER put "$STORE" keyed.op config "$DIR/config.json" || cannot_run "the store refused the configuration"
  step "configuration r$version acknowledged"
}

# server NAME SERVICE ZONE OPTION...
server () {
  local name=$1 service=$2 zone=$3 port=${PORTS[NEXT++]}; shift 3
  $PEER server "$port" "$name" "$service" "$zone" "$STORE" "$RECORD" "$@" & started "$name" $!
}

# daemon NAME ZONE: the first two daemons are the seeds of all
daemon () {
  local name=$1 zone=$2
  FRONT[$name]=${PORTS[NEXT++]} READY[$name]=${PORTS[NEXT++]} CONTROL[$name]=${PORTS[NEXT++]} ADMIN[$name]=${PORTS[NEXT++]}
  local directory=${PORTS[NEXT++]}
  if [ $((N_SEEDS++)) -lt 2 ]; then SEEDS+="${SEEDS:+,}\"127.0.0.1:${CONTROL[$name]}\""; fi
  sed -e "s|{{Node}}|$name|; s|{{Zone}}|$zone|; s|{{Ip}}|127.0.0.1|; s|{{Listen.Front}}|127.0.0.1:${FRONT[$name]}|" \
    -e "s|{{Listen.Ready}}|127.0.0.1:${READY[$name]}|; s|{{Listen.Control}}|127.0.0.1:${CONTROL[$name]}|" \
    -e "s|{{Listen.Directory}}|127.0.0.1:$directory|; s|{{PortRange.0}}|${ADMIN[$name]}|" \
    -e "s/{{Seeds|json}}/[$SEEDS]/" -e "s|{{Platform.Address}}|127.0.0.1:$STORE|; s|{{Bounds.Grace}}|6s|" \
    -e "s|{{Bounds.RetryBudgetRatio}}|0.2|; s|{{Bounds.RetryBudgetSlack}}|56|; s|{{Bounds.BudgetWindow}}|10s|" \
    -e "s|{{Bootstrap}}|true|; s|{{Limits.CpuShare}}|0.2|" deploy/settings.yaml >"$DIR/$name.yaml"
  ! grep -q '{{' "$DIR/$name.yaml" || cannot_run "a name in the template is not known here"
  GENTIANSCALE_NODE_FILE="$DIR/$name.yaml" target/gentianscaled >>"$DIR/$name.log" 2>&1 & started "$name" $!
}
is_ready () { $PEER get "${READY[$1]}" /v1/ready; }

# ask DAEMON METHOD PATH ID DEADLINE_MS [BODY_BYTES]: one request of a client, on a connection of its
# own; its line goes to the record. ask_later does it in the background.
ask () {
  local name=$1; shift
  step "sends id=$3 to $name: $1 $2 deadline_ms=$4" >/dev/null
  $PEER request "${FRONT[$name]}" "$1" h.example "$2" "$3" "$4" "${5:-0}" >>"$RECORD"
}
ask_later () { ask "$@" & CLIENTS+=($!); }
join_clients () { [ ${#CLIENTS[@]} = 0 ] || wait "${CLIENTS[@]}"; CLIENTS=(); }
# outcome ID: the outcome that the client saw
outcome () { sed -n "s/.* client id=$1 .*outcome=\([a-z]*\).*/\1/p" "$RECORD"; }
status () { sed -n "s/.* client id=$1 status=\([0-9]*\).*/\1/p" "$RECORD"; }
serves () { local id=warm$RANDOM$RANDOM; ask "$1" GET "$2" "$id" 3000; [ "$(status "$id")" = 200 ]; }
