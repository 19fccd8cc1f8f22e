#!/usr/bin/env bash
# bench-hop: latency that a daemon adds at 1000 requests/s over 64 connections, and its memory during a 1 GB download.
set -u
cd "$(dirname "$0")/.."
export BIN=build/release PORTS=30000 LOG_LEVEL=${LOG_LEVEL:-notice}
DIR=$(mktemp -d); export DIR
. tools/fleet.sh
trap 'stop_all; rm -rf "$DIR"' EXIT
rss_kb () { awk '/^VmRSS/{print $2}' "/proc/$1/status"; }
peak_kb () { awk '/^VmHWM/{print $2}' "/proc/$1/status"; }
start_platform
for i in 0 1 2 3; do start_backend $i "b-$i" ${SERVICE_US:-200} 64; done
for i in 1 2 3; do start_daemon $i "d$i"; done
for i in 1 2 3; do wait_for 15 sees_members $i 3; done
{ echo "pools:"; write_pool p balanced 50 1 0 4 | sed 's/^    homes: 1/    homes: 1\n    slots: 64/'; echo "routes:"; echo "  - {name: r, host: h, prefix: /, pool: p, repeat: safe}"; } >"$DIR/t.yaml"
ctl 1 w submit "$DIR/t.yaml" >/dev/null
for i in 1 2 3; do wait_for 9 is_ready $i; done; sleep 1
home=$(ctl 1 w pools | tr -d ' \n' | sed 's/.*"homes":\["inst-\([0-9]\)".*/\1/')
pid=$(pid_of inst-$home)
echo "{\"daemon\":\"inst-$home\",\"idle_rss_kb\":$(rss_kb $pid)}"
for run in 1 2 3; do "$BIN/bench/bench_hop" "127.0.0.1:$((PORTS + 100))" "$(entry_of $home)" "$pid" h "${CALLERS:-64}" "${RATE:-1000}" "${SECONDS_A_RUN:-10}"; done
echo "{\"rss_after_load_kb\":$(rss_kb $pid)}"
before=$(rss_kb $pid)
curl -s --noproxy '*' -H "Host: h" "http://$(entry_of $home)/big/1000000000" | wc -c | awk -v b="$before" -v p="$(peak_kb $pid)" '{print "{\"download_bytes\":" $1 ",\"rss_before_kb\":" b "}"}'
echo "{\"peak_rss_kb\":$(peak_kb $pid)}"
