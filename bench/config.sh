#!/usr/bin/env bash
# bench-config: time from the acceptance of an edit until the slowest daemon applies it, over many edits: with a
# healthy fleet, and while a daemon is replaced. Usage: config.sh [DAEMONS [EDITS]]
set -u
cd "$(dirname "$0")/.."
export BIN=build/release PORTS=18000 LOG_LEVEL=notice
N=${1:-24} EDITS=${2:-30}
DIR=$(mktemp -d); export DIR
. tools/fleet.sh
trap 'stop_all; rm -rf "$DIR"' EXIT
start_platform; start_backend 0 b-0
for ((i = 1; i <= N; i++)); do start_daemon $i "d$((i % 3))"; done
for ((i = 1; i <= N; i++)); do wait_for 30 sees_members $i "$N"; done
{ echo "pools:"; write_pool p balanced 50 1 0 1; echo "routes:"; echo "  - {name: r, host: h, prefix: /, pool: p}"; } >"$DIR/t.yaml"
# applied_at DAEMON REVISION: time stamp of the log event with which the daemon applied the revision
applied_at () { grep -hE "GS5101.*revision=$2\$|GS5102.*position=$2 " "$DIR/inst-$1.log" | head -1 | cut -d' ' -f2; }
measure () {
  local revision i slowest t
  ctl 1 w submit "$DIR/t.yaml" >/dev/null; local accepted; accepted=$(date +%s%3N)
  revision=$(revision_of 1 w); slowest=0
  for ((i = 1; i <= N; i++)); do wait_for 9 has_revision $i w "$revision" || echo "daemon $i has not applied revision $revision within 9 s" >&2; done
  for ((i = 1; i <= N; i++)); do
    t=$(applied_at $i "$revision"); [ -n "$t" ] || continue
    t=$(($(date -d "$t" +%s%3N) - accepted)); [ "$t" -gt "$slowest" ] && slowest=$t
  done
  echo "$slowest"
}
report () { sort -n "$DIR/$1" | awk -v k="$1" -v n="$N" '{v[NR]=$1} END {print "{\"measure\":\"" k "\",\"daemons\":" n ",\"edits\":" NR ",\"slowest_p50_ms\":" v[int((NR+1)/2)] ",\"slowest_max_ms\":" v[NR] "}"}'; }
for ((e = 0; e < EDITS; e++)); do measure >>"$DIR/healthy"; done
report healthy
for ((e = 0; e < EDITS / 3; e++)); do
  replaced=$((2 + e % (N - 2))); kill -KILL "$(pid_of inst-$replaced)"; start_daemon $replaced "d$((replaced % 3))"
  measure >>"$DIR/daemons-replaced"
done
report daemons-replaced
