#!/usr/bin/env bash
# bench-slopes: the slopes of bench_slopes; then, with real daemons, the bytes and the processor time of idle daemons
# in fleets of 8 and 32 members, and the start of a daemon from a snapshot of tables at the target size.
set -u
cd "$(dirname "$0")/.."
export BIN=build/release PORTS=31000 LOG_LEVEL=warning
"$BIN/bench/bench_slopes"
. tools/fleet.sh
trap 'stop_all; rm -rf "$DIR"' EXIT
cpu_ticks () { awk '{print $14 + $15}' "/proc/$1/stat"; }
measure_idle () {
  DIR=$(mktemp -d); PIDS=()
  start_platform
  for ((i = 1; i <= $1; i++)); do start_daemon $i "d$((i % 3))"; done
  for ((i = 1; i <= $1; i++)); do wait_for 30 sees_members $i "$1"; done
  sleep 8
  local sent received reads cpu
  sent=$(metric_of 3 gentian_peer_sent_bytes_total); received=$(metric_of 3 gentian_peer_received_bytes_total)
  reads=$(metric_of 3 gentian_log_read_bytes_total); cpu=$(cpu_ticks "$(pid_of inst-3)")
  sleep 10
  echo "{\"members\":$1,\"peer_sent_bytes_a_second\":$((($(metric_of 3 gentian_peer_sent_bytes_total) - sent) / 10)),\"peer_received_bytes_a_second\":$((($(metric_of 3 gentian_peer_received_bytes_total) - received) / 10)),\"log_read_bytes_a_second\":$((($(metric_of 3 gentian_log_read_bytes_total) - reads) / 10)),\"core_percent\":$(echo "scale=2; ($(cpu_ticks "$(pid_of inst-3)") - $cpu) / 10" | bc),\"rss_kb\":$(awk '/^VmRSS/{print $2}' "/proc/$(pid_of inst-3)/status")}"
  stop_all; rm -rf "$DIR"
}
measure_idle 8
measure_idle 32
DIR=$(mktemp -d); PIDS=(); PORTS=32000
start_platform
sleep 0.3
for ((i = 0; i < 3; i++)); do curl -s --noproxy '*' -X POST --data-binary x "http://$PLATFORM/v1/streams/config/records" >/dev/null; done
curl -s --noproxy '*' -X POST "http://$PLATFORM/control?trim=config" >/dev/null
"$BIN/bench/bench_slopes" "http://$PLATFORM" >/dev/null || echo "the snapshot was not appended"
begin=$(date +%s%3N)
start_daemon 1 d1
wait_for 60 is_ready 1 || echo "the daemon was not ready within 60 s"
echo "{\"start_from_snapshot_at_target_ms\":$(($(date +%s%3N) - begin)),\"rss_kb\":$(awk '/^VmRSS/{print $2}' "/proc/$(pid_of inst-1)/status"),\"peak_rss_kb\":$(awk '/^VmHWM/{print $2}' "/proc/$(pid_of inst-1)/status")}"
sleep 5
cpu=$(cpu_ticks "$(pid_of inst-1)"); sleep 10
echo "{\"at_target_idle_core_percent\":$(echo "scale=2; ($(cpu_ticks "$(pid_of inst-1)") - $cpu) / 10" | bc),\"rss_kb\":$(awk '/^VmRSS/{print $2}' "/proc/$(pid_of inst-1)/status")}"
