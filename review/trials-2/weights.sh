#!/usr/bin/env bash
# A new version drops the route of the orders and splits the lookups between two services, with
# weights in parts per million. With TROUBLE=0 the same version has the weights 90 and 10.
CASE=$(dirname "$0")
. "$(dirname "$0")/../lib-2.sh"
LIMITS='"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}'
SERVICES='"Services":[{"Name":"orders","HealthPath":"/health","MaxConns":330},{"Name":"stock","HealthPath":"/health","MaxConns":330}]'
ORDERS='{"Name":"orders","Host":"h.example","PathPrefix":"/o/","Kind":"unsafe","Timeout":"3000ms","TargetLatency":"1500ms","Priority":1,"Service":"orders","MaxAttempts":2}'
# lookups TARGET
lookups () { echo "{\"Name\":\"lookups\",\"Host\":\"h.example\",\"PathPrefix\":\"/s/\",\"Kind\":\"safe\",\"Timeout\":\"3000ms\",\"TargetLatency\":\"1500ms\",\"Priority\":2,$1,\"MaxAttempts\":2}"; }
# split WEIGHT WEIGHT
split () { echo "\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":$1},{\"Service\":\"orders\",\"Weight\":$2}]"; }
echo "{\"Version\":\"r3\",\"Routes\":[$ORDERS,$(lookups '"Service":"stock"')],$SERVICES,$LIMITS}" >"$DIR/r3.json"
if [ "$TROUBLE" = 1 ]; then weights="900000 100000"; else weights="90 10"; fi
echo "{\"Version\":\"r7\",\"Routes\":[$(lookups "$(split $weights)")],$SERVICES,$LIMITS}" >"$DIR/r7.json"
ZONES=(- a b c a b c)
start_store
put_config "$DIR/r3.json"
for i in 1 2; do start_upstream $i orders "${ZONES[$i]}" 20; done
for i in 3 4; do start_upstream $i stock "${ZONES[$i]}" 20; done
for i in 1 2 3 4 5 6; do start_front $i "${ZONES[$i]}"; done
post () { request "$1" POST /o/1 3000 order | grep -q ' 200 aa.bb '; }
for i in 1 2 3 4 5 6; do wait_for 20 post $i && wait_for 20 serves $i /s/1 || finish 2 "front-$i does not serve"; done
sleep 4
put_config "$DIR/r7.json"
sleep 5 # ConfigApply is 2 s
ran=0 looked=0
for round in 1 2 3 4 5; do
  for i in 1 2 3 4 5 6; do
    post $i && ran=$((ran + 1))
    serves $i /s/1 && looked=$((looked + 1))
  done
  sleep 1
done
note "sent 5 s and later after the acknowledgement: $ran of 30 orders ran, $looked of 30 lookups were served"
[ $looked -ge 20 ] || finish 2 "only $looked of 30 lookups were served"
[ $ran = 0 ] && finish 0 "held: no order ran on the removed route"
finish 1 "broken: $ran of 30 orders ran on a route that was removed 5 to 15 s before"
