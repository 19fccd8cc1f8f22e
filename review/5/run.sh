#!/usr/bin/env bash
# The configuration adds a route whose paths include /v1/entries. See claim.txt.
. "$(dirname "$0")/../lib.sh"

prepare 40
lookups=$(route lookups /s/ safe 2000 1200 registry 2)
publish 3 registry "$lookups"
for i in 1 2 3; do server registry-$i registry a; done
daemons=(); zones=(a b c)
for i in 1 2 3; do daemons+=(front-$i); daemon front-$i ${zones[i % 3]}; done
for name in "${daemons[@]}"; do
  wait_for 15 is_ready $name || cannot_run "$name is not ready"
  wait_for 10 serves $name /s/w5/b200 || cannot_run "$name does not serve"
done

paths=(/s/w5/b300/a)
if [ "$TROUBLE" != 0 ]; then
  publish 4 registry "$lookups" "$(route entries /v1/ safe 2000 1200 registry 2)"
  paths+=(/v1/other /v1/entries "/v1/entries?host=h.example")
fi
sleep 2.5 # ConfigApply, 2 s, has passed
n=0
for name in "${daemons[@]}"; do for path in "${paths[@]}"; do ask $name GET "$path" "asked$((++n))" 2000; done; done
grep ' client id=asked' "$RECORD"
broken=$(grep -cE ' client id=asked.* outcome=(foreign|unstamped)' "$RECORD")
verdict "$broken" "$broken of $n requests were answered 200 without the stamp of a server, and ran at none"
