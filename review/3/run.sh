#!/usr/bin/env bash
# One of two machines is lost; its clients move to the other one. See claim.txt.
. "$(dirname "$0")/../lib.sh"
CLIENTS_ALL=1168 # as many as the small site cna-pasarela has

prepare 40
publish 3 registry "$(route lookups /s/ safe 2000 1200 registry 2)"
for i in 1 2 3 4 5 6; do server registry-$i registry a slots=8; done
daemon front-1 a; daemon front-2 b
for name in front-1 front-2; do
  wait_for 15 is_ready $name || cannot_run "$name is not ready"
  wait_for 10 serves $name /s/w5/b200 || cannot_run "$name does not serve"
done

$PEER crowd 32 $CLIENTS_ALL h.example /s/w5/b200/stock "$RECORD" "${FRONT[front-1]}" "${FRONT[front-2]}" & started crowd $!
sleep 12
lost=$(date +%s%3N)
[ "$TROUBLE" = 0 ] || kill_one KILL front-1
# The platform asks each second whether the machine is ready.
ready=0
for ((second = 0; second < 18; second++)); do is_ready front-2 >/dev/null && ready=$((ready + 1)); sleep 1; done
step "front-2 said that it is ready $ready of 18 times after the loss; it has $(ls "/proc/${PID[front-2]}/fd" | wc -l) descriptors open of MaxFds 4100"
wait "${PID[crowd]}"

# Spans of StableWindow, 3 s, that begin each half second from 3 s after the loss on: those in which
# seven clients or more opened a new connection and none of these was taken. One that ends while the
# clients stop is left out.
read -r spans broken most <<<"$(awk -v lost="$lost" -v port="port=${FRONT[front-2]}" '
  $2 == "CROWD_TRY" && $5 == port { n++; at[n] = $1; taken[n] = $3 == "taken=1"; client[n] = $4 }
  END { for (from = lost + 3000; from <= lost + 14000; from += 500) {
      all = 0; any = 0; split ("", seen)
      for (i = 1; i <= n; i++) if (at[i] >= from && at[i] < from + 3000) { any += taken[i]; if (!(client[i] in seen)) { seen[client[i]]; all++ } }
      spans++; if (all >= 7 && !any) { broken++; if (all > most) most = all } }
    print spans + 0, broken + 0, most + 0 }' "$RECORD")"
step "spans looked at: $spans; clients that tried in vain in one of them: $most at most"
[ "$ready" -ge 17 ] || cannot_run "front-2 did not say that it is ready"
verdict "$broken" "in $broken of $spans spans of 3 s no new connection was taken, while seven clients or more tried and the machine said that it is ready"
