# Sourced by the functional tests: functions that start a small fleet, and checks that print
# TAP-like lines.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
export BIN=${BIN:-build/asan} DIR
DIR=$(mktemp -d)
export ASAN_OPTIONS=detect_leaks=0:abort_on_error=1 UBSAN_OPTIONS=halt_on_error=1
. tools/fleet.sh
PASSED=0 FAILED=0
finish () {
  stop_all
  if grep -l "ERROR: AddressSanitizer\|runtime error" "$DIR"/*.log >/dev/null 2>&1; then
    echo "not ok sanitizer: $(grep -h "ERROR: AddressSanitizer\|runtime error" "$DIR"/*.log | head -1)"
  fi
  [ -n "${KEEP:-}" ] && echo "# kept $DIR" || rm -rf "$DIR"
}
trap finish EXIT
ok () { echo "ok $1"; }
not_ok () { echo "not ok $1: $2"; }
# check NAME COMMAND...: passes when the command succeeds
check () {
  local name=$1 out; shift
  if out=$("$@" 2>&1); then ok "$name"; else not_ok "$name" "$(echo "$*: $out" | tail -3 | tr '\n' ' ' | cut -c1-300)"; fi
}
# equal NAME FOUND EXPECTED
equal () { if [ "$2" = "$3" ]; then ok "$1"; else not_ok "$1" "found '$2', expected '$3'"; fi; }
# at_most NAME FOUND LIMIT
at_most () { if [ "$(echo "$2 <= $3" | bc)" = 1 ]; then ok "$1 ($2 of at most $3)"; else not_ok "$1" "found $2, at most $3"; fi; }

# start_fleet DAEMONS BACKENDS [SERVICE_US]
start_fleet () {
  local i
  start_platform
  for ((i = 0; i < $2; i++)); do start_backend $i "p-$i" "${3:-2000}"; done
  for ((i = 1; i <= $1; i++)); do start_daemon $i "d$((i % 3))"; done
  for ((i = 1; i <= $1; i++)); do wait_for 30 sees_members $i "$1" || echo "not ok start: daemon $i sees fewer than $1 members"; done
}

# write_tables FILE BACKENDS [COST [FLOOR [HOMES]]]: one pool with a route of each repeat policy
write_tables () {
  {
    echo "pools:"; write_pool p "${3:-balanced}" "${4:-50}" "${5:-1}" 0 "$2"
    echo "routes:"
    echo "  - {name: never, host: h, prefix: /refunds, pool: p, repeat: never, timeout_ms: ${TIMEOUT_MS:-3000}, attempt_timeout_ms: ${ATTEMPT_MS:-1000}}"
    echo "  - {name: once, host: h, prefix: /once, pool: p, repeat: once, timeout_ms: ${TIMEOUT_MS:-3000}, attempt_timeout_ms: ${ATTEMPT_MS:-1000}}"
    echo "  - {name: safe, host: h, prefix: /, pool: p, repeat: safe, timeout_ms: ${TIMEOUT_MS:-3000}, attempt_timeout_ms: ${ATTEMPT_MS:-1000}}"
  } >"$1"
}

# publish FILE DAEMONS: submits the tables and waits until all daemons have them and are ready
publish () {
  local i
  ctl 1 w submit "$1" >/dev/null || echo "not ok publish: refused"
  for ((i = 1; i <= $2; i++)); do wait_for 20 has_revision $i w "$(revision_of 1 w)" && wait_for 20 is_ready $i || echo "not ok publish: daemon $i lacks the revision or is not ready"; done
}

# request DAEMON RUN_ID PATH CURL_ARGUMENTS...: sends one request and prints "STATUS VERDICT".
# STATUS is 000 when the response is missing or incomplete, VERDICT is - when there is none.
# $DIR/head and $DIR/body hold the response.
request () {
  local n=$1 run=$2 path=$3; shift 3
  local out
  : >"$DIR/head"
  out=$(curl -s --noproxy '*' -m 8 -o "$DIR/body" -D "$DIR/head" -w '%{http_code} %{exitcode}' -H "Host: h" -H "Run-Id: $run" "$@" "http://$(entry_of "$n")$path")
  echo "$([ "${out#* }" = 0 ] && echo "${out% *}" || echo 000) $(v=$(verdict_of); echo "${v:--}")"
}
# verdict_of: prints the verdict of the last request
verdict_of () { tr -d '\r' <"$DIR/head" | sed -n 's/^Gentian-Verdict: //p'; }
# runs RUN_ID BACKENDS: prints how many times the backend servers together executed it
runs () {
  local i total=0 n
  for ((i = 0; i < $2; i++)); do
    n=$(curl -s --noproxy '*' "http://127.0.0.1:$((PORTS + 1100 + i))/control/runs" | awk -v r="$1" '$1==r{print $2}')
    total=$((total + ${n:-0}))
  done
  echo $total
}
# fleet_list DAEMONS, control_list BACKENDS: entry addresses and control addresses, separated by
# commas
fleet_list () { local i; for ((i = 1; i <= $1; i++)); do printf '%s,' "$(entry_of $i)"; done | sed 's/,$//'; }
control_list () { local i; for ((i = 0; i < $1; i++)); do printf '127.0.0.1:%s,' $((PORTS + 1100 + i)); done | sed 's/,$//'; }
# json_number JSON KEY
json_number () { sed "s/.*\"$2\":\([0-9.]*\).*/\1/" <<<"$1"; }
