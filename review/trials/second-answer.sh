#!/usr/bin/env bash
# No case, see REPORT.md. One large answer of many is broken off after 1.5 MB of 4 MB and followed by
# a second one on the same connection: both are passed on as one body.
. "$(dirname "$0")/../lib.sh"
USUAL=100 # answers before each large one; the large answers of a half of the servers are spoilt

prepare 40
publish 3 archive "$(route drawings /d/ download 6000 3000 archive 2)"
spoil=(); [ "$TROUBLE" = 0 ] || spoil=(spoil=/spoilt spoil_at=1500000)
server archive-1 archive a "${spoil[@]}"
server archive-2 archive b "${spoil[@]}"
server archive-3 archive c
server archive-4 archive a
daemons=(); zones=(a b c)
for i in 1 2 3; do daemons+=(front-$i); daemon front-$i ${zones[i % 3]}; done
for name in "${daemons[@]}"; do
  wait_for 15 is_ready $name || cannot_run "$name is not ready"
  wait_for 10 serves $name /d/w20/b200 || cannot_run "$name does not serve"
done

for round in 1 2 3 4 5 6 7 8; do
  for i in $(seq $USUAL); do ask front-$((i % 3 + 1)) GET /d/w5/b20000/usual "usual$round.$i" 3000; done
  ask front-$((round % 3 + 1)) GET /d/w60/b4000000/spoilt "spoilt$round" 6000
done
grep ' client id=spoilt' "$RECORD"
step "answers: $(grep -c ' answered id=' "$RECORD"), of these broken off and followed by a second one: $(grep -c ' spoils id=' "$RECORD")"
broken=$(grep -cE ' client id=.* outcome=(foreign|unstamped)' "$RECORD")
verdict "$broken" "$broken answers had status 200 and were complete, with a body that is not their server's whole body"
