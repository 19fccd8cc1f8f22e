# Shell functions that start stand-ins and daemons on loopback, for the demo, the benchmarks and the
# functional tests. Set DIR (working directory), BIN (build directory) and PORTS (first port) before
# sourcing it. The functions record the process id of each process that they start, and stop_all
# kills only these.
: "${BIN:=build/release}" "${DIR:=$(mktemp -d)}" "${PORTS:=20000}"
PIDS=()
NAMES=()

# record_pid NAME PID
record_pid () { PIDS+=("$2"); NAMES+=("$1"); eval "PID_${1//[^a-zA-Z0-9]/_}=$2"; }
pid_of () { eval "echo \$PID_${1//[^a-zA-Z0-9]/_}"; }

stop_all () {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

start_platform () {
  PLATFORM="127.0.0.1:$PORTS"
  "$BIN/standin/platform" "$PORTS" 2>>"$DIR/platform.log" & record_pid platform $!
}

platform_control () { curl -s --noproxy '*' -X POST "http://$PLATFORM/control?$1" >/dev/null; }

# start_backend NUMBER ID [SERVICE_US [SLOTS]]
start_backend () {
  "$BIN/standin/backend" $((PORTS + 100 + $1)) "$2" "${3:-5000}" "${4:-4}" 2>>"$DIR/backend.log" & record_pid "$2" $!
}

backend_control () { curl -s --noproxy '*' "http://127.0.0.1:$((PORTS + 1100 + $1))/control?$2" >/dev/null; }
backend_stats () { curl -s --noproxy '*' "http://127.0.0.1:$((PORTS + 1100 + $1))/control"; }

make_keys () { [ -s "$DIR/keys.yaml" ] || "$BIN/gentianctl" keys >"$DIR/keys.yaml"; }

# write_settings NUMBER DOMAIN
write_settings () {
  make_keys
  local n=$1 file="$DIR/inst-$1.yaml"
  {
    echo "instance: inst-$n"
    echo "failure_domain: $2"
    echo "address: 127.0.0.1"
    echo "entry_port: $((PORTS + 200 + n))"
    echo "admin_port: $((PORTS + 300 + n))"
    echo "peer_port: $((PORTS + 400 + n))"
    echo "platform_url: http://$PLATFORM"
    echo "log_level: ${LOG_LEVEL:-info}"
    echo "seeds: ['127.0.0.1:$((PORTS + 401))', '127.0.0.1:$((PORTS + 402))']"
    [ -z "${EXTRA_SETTINGS:-}" ] || echo "$EXTRA_SETTINGS"
    cat "$DIR/keys.yaml"
  } >"$file"
}

# start_daemon NUMBER DOMAIN
start_daemon () {
  write_settings "$1" "$2"
  "$BIN/gentianscaled" --settings "$DIR/inst-$1.yaml" >>"$DIR/inst-$1.log" 2>&1 & record_pid "inst-$1" $!
}

entry_of () { echo "127.0.0.1:$((PORTS + 200 + $1))"; }
admin_of () { echo "http://127.0.0.1:$((PORTS + 300 + $1))"; }
health_of () { curl -s --noproxy '*' -m 2 "$(admin_of "$1")/healthz"; }
metric_of () { curl -s --noproxy '*' -m 2 "$(admin_of "$1")/metrics" | awk -v m="$2" '$1==m{print $2}'; }

# wait_for SECONDS COMMAND...: polls until the command succeeds
wait_for () {
  local end=$((SECONDS + $1)); shift
  until "$@" >/dev/null 2>&1; do [ "$SECONDS" -lt "$end" ] || return 1; sleep 0.05; done
}

is_ready () { health_of "$1" | grep -q '"ready": *true'; }
sees_members () { [ "$(health_of "$1" | sed 's/.*"members": *\([0-9]*\).*/\1/')" -ge "$2" ]; }
has_revision () { "$BIN/gentianctl" -u "$(admin_of "$1")" -w "$2" -c "$DIR/credential-$2" -j show | grep -q "\"revision\": *$3\b"; }
revision_of () { "$BIN/gentianctl" -u "$(admin_of "$1")" -w "$2" -c "$DIR/credential-$2" -j show | sed -n 's/.*"revision": *\([0-9]*\).*/\1/p'; }

# ctl NUMBER WORKSPACE ARGUMENTS...: runs gentianctl against a daemon with the workspace's
# credential
ctl () {
  local n=$1 w=$2; shift 2
  [ -s "$DIR/credential-$w" ] || "$BIN/gentianctl" -w "$w" credential "$DIR/inst-1.yaml" >"$DIR/credential-$w"
  "$BIN/gentianctl" -u "$(admin_of "$n")" -w "$w" -c "$DIR/credential-$w" "$@"
}

# write_pool NAME COST FLOOR HOMES FIRST COUNT: prints a pool of the backend servers from number
# FIRST, in three failure domains. ROW_STATE[NUMBER] is the state in the table's row; the default is
# serving.
write_pool () {
  echo "  - name: $1"; echo "    cost: $2"; echo "    floor_percent: $3"; echo "    homes: $4"; echo "    upstreams:"
  local i
  for ((i = $5; i < $5 + $6; i++)); do
    echo "      - {id: $1-$i, address: 127.0.0.1, port: $((PORTS + 100 + i)), failure_domain: d$((i % 3)), state: ${ROW_STATE[$i]:-serving}}"
  done
}

# Functions for the users' platform (`native`): its metadata store, backend servers that register
# there, and daemons with the settings that the platform renders from deploy/settings.yaml.
start_store () { STORE=$PORTS; "$BIN/standin/store" "$STORE" 2>>"$DIR/store.log" & record_pid store $!; wait_for 5 curl -s --noproxy '*' "http://127.0.0.1:$STORE/control"; }
store_control () { curl -s --noproxy '*' -m 2 "http://127.0.0.1:$STORE/control?$1" >/dev/null; }
# start_upstream NUMBER SERVICE [WORK_MS]
start_upstream () { "$BIN/standin/upstream" $((PORTS + 100 + $1)) "$2-$1" "$2" "d$(($1 % 3))" "$STORE" "${3:-20}" 2>>"$DIR/upstream.log" & record_pid "$2-$1" $!; }
upstream_control () { curl -s --noproxy '*' -m 2 "http://127.0.0.1:$((PORTS + 100 + $1))/control?$2" >/dev/null; }
upstream_received () { curl -s --noproxy '*' -m 2 "http://127.0.0.1:$((PORTS + 100 + $1))/received"; }
upstream_count () { curl -s --noproxy '*' -m 2 "http://127.0.0.1:$((PORTS + 100 + $1))/count"; }
# put_record TOPIC KEY FILE: appends one keyed record, its value is the file
put_record () {
  local size=$((1 + ${#2} + $(wc -c <"$3")))
  { printf "$(printf '\\x%02x\\x%02x\\x%02x\\x%02x\\x%02x' $((size >> 24 & 255)) $((size >> 16 & 255)) $((size >> 8 & 255)) $((size & 255)) ${#2})"; printf '%s' "$2"; cat "$3"; } \
    | curl -s --noproxy '*' -m 2 --data-binary @- "http://127.0.0.1:$STORE/v1/log-append?Topic=$1&part=0" >/dev/null
}
# write_native_settings NUMBER DOMAIN: renders the settings template as the platform does
write_native_settings () {
  local base=$((PORTS + 200 + 10 * $1))
  sed -e "s|{{Node}}|inst-$1|; s|{{Zone}}|$2|; s|{{Ip}}|127.0.0.1|; s|{{Listen.Front}}|127.0.0.1:$base|" \
    -e "s|{{Listen.Ready}}|127.0.0.1:$((base + 1))|; s|{{Listen.Control}}|127.0.0.1:$((base + 2))|" \
    -e "s|{{Listen.Directory}}|127.0.0.1:$((base + 3))|; s|{{PortRange.0}}|$((base + 4))|" \
    -e "s|{{Seeds.json}}|[\"127.0.0.1:$((PORTS + 212))\", \"127.0.0.1:$((PORTS + 222))\"]|" \
    -e "s|{{Platform.Address}}|127.0.0.1:$STORE|; s|{{Bounds.Grace}}|6s|; s|{{Bounds.RetryBudgetRatio}}|0.2|; s|{{Limits.CpuShare}}|0.2|" \
    -e "s|{{Bounds.RetryBudgetSlack}}|56|; s|{{Bounds.BudgetWindow}}|10s|; s|{{Bootstrap}}|${BOOTSTRAP:-true}|; s|{{#Bounds.Quota[A-Za-z]*}}.*||" \
    deploy/settings.yaml >"$DIR/inst-$1.yaml"
}
start_native () { write_native_settings "$1" "$2"; "$BIN/gentianscaled" --settings "$DIR/inst-$1.yaml" >>"$DIR/inst-$1.log" 2>&1 & record_pid "inst-$1" $!; }
native_ready () { [ "$(curl -s --noproxy '*' -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((PORTS + 201 + 10 * $1))/v1/ready")" = 200 ]; }
native_resolve () { curl -s --noproxy '*' -m 2 "http://127.0.0.1:$((PORTS + 203 + 10 * $1))/v1/resolve?Name=h.example&Region=r&Zone=$2"; }
native_metric () { curl -s --noproxy '*' -m 2 "http://127.0.0.1:$((PORTS + 204 + 10 * $1))/metrics" | awk -v m="$2" '$1==m{print $2}'; }
# native_request NUMBER ID PATH CURL_ARGUMENTS...: sends one request and prints its status
native_request () {
  local n=$1 id=$2 path=$3; shift 3
  curl -s --noproxy '*' -m 9 -o "$DIR/body" -D "$DIR/head" -w '%{http_code}' -H "Host: h.example" -H "Gentianscale-Request-Id: $id" -H "Gentianscale-Deadline-Ms: 3000" "$@" "http://127.0.0.1:$((PORTS + 200 + 10 * n))$path"
}
