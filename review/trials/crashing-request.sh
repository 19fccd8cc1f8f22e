#!/usr/bin/env bash
# No case, see REPORT.md. A request that crashes each server that runs it comes again every four
# seconds, beside one other request a second. Servers are back after 3 s, with a new id.
. "$(dirname "$0")/../lib.sh"
EVERY=4

prepare 40
publish 3 registry "$(route lookups /s/ safe 2000 1200 registry 2)"
for i in 1 2 3 4 5 6; do server registry-$i registry a crash=/poison; done
daemons=(); zones=(a b c)
for i in 1 2 3; do daemons+=(front-$i); daemon front-$i ${zones[i % 3]}; done
for name in "${daemons[@]}"; do
  wait_for 15 is_ready $name || cannot_run "$name is not ready"
  wait_for 10 serves $name /s/w5/b200 || cannot_run "$name does not serve"
done

end=$((SECONDS + 90))
for ((n = 1; SECONDS < end; n++)); do
  if [ $((n % EVERY)) = 0 ] && [ "$TROUBLE" != 0 ]; then ask front-$((n / EVERY % 3 + 1)) GET /s/w5/b200/poison "poison$n" 2000; else ask front-$((n % 3 + 1)) GET "/s/w50/b200/usual$((n % 50))" "usual$n" 2000; fi
  sleep 1
done
# Arrivals later than StableWindow, 3 s, after the third crash, beyond the first of each client
# attempt.
third=$(grep " runs id=poison" "$RECORD" | sed -n 3p | cut -d' ' -f1)
retries=$(awk -v third="${third:-0}" '/ runs id=poison/ && third > 0 && $1 > third + 3000 { if (seen[$5]++) n++ } END { print n + 0 }' "$RECORD")
step "crashes: $(grep -c ' crashes ' "$RECORD"); client attempts: $(grep -c ' client id=poison' "$RECORD")"
verdict $((retries > 3 ? retries : 0)) "the request reached servers in $retries retries later than StableWindow after its third crash; three are allowed"
