#!/usr/bin/env bash
# All machines of a zone but one are lost; that one goes on by an old configuration. See claim.txt.
. "$(dirname "$0")/../lib.sh"
MACHINES=32
CONFIG_APPLY_MS=2500
# The machine whose turn to read the store itself comes last; the order follows from the names.
LEFT=front-2

prepare $((MACHINES * 5 + 12))
publish 3 "ledger-old ledger-new" "$(route refunds /o/ unsafe 2000 1500 ledger-old 2)"
for i in 1 2 3; do server old-$i ledger-old a; server new-$i ledger-new a; done
daemons=()
for ((i = 1; i <= MACHINES; i++)); do daemons+=(front-$i); daemon front-$i a; done
for name in "${daemons[@]}"; do wait_for 20 is_ready $name || cannot_run "$name is not ready"; done
wait_for 10 serves $LEFT /o/w5/b200/refund || cannot_run "$LEFT does not serve"
sleep 5 # calm for longer than StableWindow

if [ "$TROUBLE" != 0 ]; then
  for name in "${daemons[@]}"; do [ $name = $LEFT ] || kill -KILL "${PID[$name]}"; done
  step "all machines but $LEFT are lost"
fi
sleep 0.2
publish 4 "ledger-old ledger-new" "$(route refunds /o/ unsafe 2000 1500 ledger-new 2)"
acked=$(date +%s%3N)
n=0
while [ $(($(date +%s%3N) - acked)) -lt 9000 ]; do
  ask $LEFT POST /o/w20/b200/refund "refund$((++n)).$(($(date +%s%3N) - acked))" 2000 500
  sleep 0.1
done
# The id of a request has the time after the acknowledgement at which it was sent.
broken=0 last=0
for ms in $(sed -nE 's/.* server old-[0-9] runs id=refund[0-9]+\.([0-9]+) .*/\1/p' "$RECORD"); do
  [ "$ms" -le $CONFIG_APPLY_MS ] || broken=$((broken + 1))
  [ "$ms" -le $last ] || last=$ms
done
step "$n refunds sent; the last that the old service ran was sent $last ms after the acknowledgement"
verdict "$broken" "$broken refunds that were sent later than ConfigApply, $CONFIG_APPLY_MS ms, after the acknowledgement ran at the old service"
