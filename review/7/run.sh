#!/usr/bin/env bash
# The three machines whose addresses are the seeds are lost for good. A second later three others are
# added at new addresses; their settings still name the lost ones as seeds. 3 s after the loss
# (SeedLag) the settings of all machines name living ones, and the added ones get SIGHUP. With TROUBLE=0 the
# three machines are added, and none is lost.
CASE=$(dirname "$0")
. "$(dirname "$0")/../lib-2.sh"
RATE=60 BURST=20 WINDOW_MS=5000
QUOTAS='s|{{#Bounds.QuotaWindow}}.*|quota_window: 5s|; s|{{#Bounds.QuotaOvershoot}}.*|quota_overshoot: 0.1|; s|{{#Bounds.QuotaSlack}}.*|quota_slack: 20|'
LIMIT=$(((RATE * WINDOW_MS / 1000 + BURST) * 11 / 10 + 20))
cat >"$DIR/r3.json" <<END
{"Version":"r3","Routes":[{"Name":"orders","Host":"h.example","PathPrefix":"/o/","Kind":"unsafe","Timeout":"3000ms","TargetLatency":"1500ms","Priority":1,"Service":"orders","MaxAttempts":2,"AllowAnonymous":false}],"Services":[{"Name":"orders","HealthPath":"/health","MaxConns":330}],"Tenants":[{"Name":"depot","ApiKeys":["key-of-depot"],"RatePerS":$RATE,"Burst":$BURST,"Priority":1}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}
END
ZONES=(- a b c a b c a b c)
export API_KEY=key-of-depot
start_store
put_config "$DIR/r3.json"
for i in 1 2 3; do start_upstream $i orders "${ZONES[$i]}" 10; done
for i in 1 2 3 4 5 6; do start_front $i "${ZONES[$i]}"; done
post () { request "$1" POST /o/1 3000 order | grep -q ' 200 aa.bb '; }
for i in 1 2 3 4 5 6; do wait_for 20 post $i || finish 2 "front-$i does not serve"; done
sleep 3
if [ "$TROUBLE" = 1 ]; then
  note "front-1, front-2 and front-3 are lost for good"
  for i in 1 2 3; do eval "kill -KILL \$FRONT_$i; wait \$FRONT_$i 2>/dev/null"; done
fi
sleep 1
for i in 7 8 9; do BOOTSTRAP=false start_front $i "${ZONES[$i]}"; done
note "front-7, front-8 and front-9 are added"
sleep 2
if [ "$TROUBLE" = 1 ]; then
  SEEDS=(4 5 6)
  for i in 4 5 6 7 8 9; do BOOTSTRAP=false write_settings $i "${ZONES[$i]}"; done
  for i in 7 8 9; do eval "kill -HUP \$FRONT_$i"; done
  note "the seeds are front-4, front-5 and front-6"
fi
for i in 7 8 9; do wait_for 10 post $i || finish 2 "front-$i does not serve"; done
sleep 15
PORTS=(); for i in 4 5 6 7 8 9; do PORTS+=("$(front_of $i)"); done
note "a tenant with $RATE requests a second and a burst of $BURST sends 200 a second"
"$KIT" load 200 8 "$RECORD" "${PORTS[@]}"
sleep 0.5
# For each window that begins with a sending: the requests sent in it that an upstream began to run
# in it.
most=$(awk -v w=$WINDOW_MS '
  / sent id=l/ { split ($3, a, "="); sent[a[2]] = $1; order[++n] = a[2] }
  / run id=l/ { split ($4, a, "="); ran[a[2]] = $1 }
  END {
    for (i = 1; i <= n; i++) {
      from = sent[order[i]]; count = 0
      for (k = i; k <= n && sent[order[k]] < from + w; k++)
        if (order[k] in ran && ran[order[k]] < from + w) count++
      if (count > most) most = count
    }
    print most + 0
  }' "$RECORD")
for i in 4 5 6 7 8 9; do note "front-$i ran $(grep -c "port=$(front_of $i) status=200" "$RECORD") of its requests"; done
note "most requests of the tenant run in 5 s: $most, allowed $LIMIT"
[ "$most" -le "$LIMIT" ] && [ "$most" -ge 100 ] && finish 0 "held: at most $most requests of the tenant ran in 5 s, allowed $LIMIT"
[ "$most" -lt 100 ] && finish 2 "only $most requests ran in 5 s"
finish 1 "broken: $most requests of the tenant ran in 5 s, allowed $LIMIT"
