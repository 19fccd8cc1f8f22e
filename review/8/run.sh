#!/usr/bin/env bash
# An operator takes all routes and services out of the configuration. With TROUBLE=0 the version that
# does so is not written.
CASE=$(dirname "$0")
. "$(dirname "$0")/../lib-2.sh"
LIMITS='"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}'
cat >"$DIR/r3.json" <<END
{"Version":"r3","Routes":[{"Name":"orders","Host":"h.example","PathPrefix":"/o/","Kind":"unsafe","Timeout":"3000ms","TargetLatency":"1500ms","Priority":1,"Service":"orders","MaxAttempts":2}],"Services":[{"Name":"orders","HealthPath":"/health","MaxConns":330}],$LIMITS}
END
echo "{\"Version\":\"r7\",\"Routes\":[],\"Services\":[],$LIMITS}" >"$DIR/r7.json"
ZONES=(- a a b b c c)
start_store
put_config "$DIR/r3.json"
for i in 1 2 3; do start_upstream $i orders "${ZONES[$((2 * i))]}" 20; done
for i in 1 2 3 4 5 6; do start_front $i "${ZONES[$i]}"; done
post () { request "$1" POST /o/1 3000 order | grep -q ' 200 aa.bb '; }
for i in 1 2 3 4 5 6; do wait_for 20 post $i || finish 2 "front-$i does not serve"; done
sleep 4
if [ "$TROUBLE" = 1 ]; then put_config "$DIR/r7.json"; fi
sleep 5 # ConfigApply is 2 s
ran=0 refused=0
for round in 1 2 3 4 5; do
  for i in 1 2 3 4 5 6; do
    if post $i; then ran=$((ran + 1)); else refused=$((refused + 1)); fi
  done
  sleep 2
done
note "orders sent 5 s and later after the acknowledgement: $ran ran, $refused did not"
if [ "$TROUBLE" = 0 ]; then
  [ $ran = 30 ] && finish 0 "held: 30 of 30 orders ran, as r3 allows"
  finish 2 "only $ran of 30 orders ran without the disruption"
fi
[ $ran = 0 ] && finish 0 "held: no order ran on the removed route"
finish 1 "broken: $ran of 30 orders ran on a route that was removed 5 to 15 s before"
