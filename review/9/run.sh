#!/usr/bin/env bash
# An operator takes the key away from the only tenant, by removing the tenant: the new version has an
# empty list of tenants. With TROUBLE=0 that version is not written.
CASE=$(dirname "$0")
. "$(dirname "$0")/../lib-2.sh"
# config VERSION TENANTS
config () {
  cat <<END
{"Version":"$1","Routes":[{"Name":"orders","Host":"h.example","PathPrefix":"/o/","Kind":"unsafe","Timeout":"3000ms","TargetLatency":"1500ms","Priority":1,"Service":"orders","MaxAttempts":2,"AllowAnonymous":false}],"Services":[{"Name":"orders","HealthPath":"/health","MaxConns":330}],"Tenants":$2,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}
END
}
config r3 '[{"Name":"depot","ApiKeys":["key-of-depot"],"RatePerS":0,"Burst":0,"Priority":1}]' >"$DIR/r3.json"
config r7 '[]' >"$DIR/r7.json"
ZONES=(- a a b b c c)
start_store
put_config "$DIR/r3.json"
for i in 1 2 3; do start_upstream $i orders "${ZONES[$((2 * i))]}" 20; done
for i in 1 2 3 4 5 6; do start_front $i "${ZONES[$i]}"; done
post () { API_KEY=$2 request "$1" POST /o/1 3000 order | grep -q ' 200 aa.bb '; }
for i in 1 2 3 4 5 6; do wait_for 20 post $i key-of-depot || finish 2 "front-$i does not serve"; done
for i in 1 2 3 4 5 6; do
  post $i never-a-key && finish 2 "front-$i serves a key that no configuration held, before the disruption"
done
sleep 4
if [ "$TROUBLE" = 1 ]; then put_config "$DIR/r7.json"; fi
sleep 5 # ConfigApply is 2 s
removed=0 unknown=0
for round in 1 2 3 4 5; do
  for i in 1 2 3 4 5 6; do
    post $i key-of-depot && removed=$((removed + 1))
    post $i never-a-key && unknown=$((unknown + 1))
  done
  sleep 1
done
note "sent 5 s and later after the acknowledgement: $removed of 30 with the tenant's key ran, $unknown of 30 with a key that never was"
if [ "$TROUBLE" = 0 ]; then
  [ $removed = 30 ] && [ $unknown = 0 ] && finish 0 "held: the tenant's key is served, the other is not"
  finish 2 "without the disruption $removed of 30 and $unknown of 30 ran"
fi
[ $removed = 0 ] && [ $unknown = 0 ] && finish 0 "held: no request ran with a removed or unknown key"
finish 1 "broken: $removed of 30 orders ran with a removed key, $unknown of 30 with one that no configuration held"
