#!/usr/bin/env bash
# Malformed, oversized and forged input from callers, peers, the log, operators and the settings
# file. It must be refused with a specific error, and neither crash a daemon nor stop it from
# serving and taking edits.
PORTS=29000
. "$(dirname "$0")/common.sh"
EXTRA_SETTINGS="max_body_bytes: 100000"
start_fleet 2 2
write_tables "$DIR/t.yaml" 2
publish "$DIR/t.yaml" 2
# raw PORT BYTES: sends the bytes (a printf format) and prints the first line of the response
raw () { exec 3<>"/dev/tcp/127.0.0.1/$1"; printf "$2" >&3; timeout 2 head -c 100 <&3 | head -1 | tr -d '\r'; exec 3>&-; }

check "bytes that are not HTTP get no status 200" test -z "$(raw $((PORTS + 201)) 'garbage\r\n\r\n' | grep 200)"
check "headers that are too large are refused" test -n "$(curl -s --noproxy '*' -o /dev/null -w '%{http_code}' -H "X: $(head -c 70000 /dev/zero | tr '\0' a)" "http://$(entry_of 1)/" | grep -E '^4|000')"
head -c 200000 /dev/zero >"$DIR/large"
request 1 large /once --data-binary @"$DIR/large" -H 'Expect:' >"$DIR/out"
equal "a body that is too large is refused as not run" "$(cat "$DIR/out") $(runs large 2)" "413 not-run 0"
curl -s --noproxy '*' -m 8 -o /dev/null -D "$DIR/head" -w '%{http_code}' -H "Host: h" -H "Transfer-Encoding: chunked" -H 'Expect:' --data-binary @"$DIR/large" "http://$(entry_of 1)/once" >"$DIR/out"
equal "the same in chunks" "$(cat "$DIR/out") $(verdict_of)" "413 not-run"
curl -s --noproxy '*' -o /dev/null -D "$DIR/head" -H "Host: unknown" "http://$(entry_of 1)/"
equal "an unknown route is refused as not run" "$(verdict_of)" not-run
request 1 k /refunds -d a -H "Idempotency-Key: $(head -c 3000 /dev/zero | tr '\0' 1)" >"$DIR/out"
equal "a key that is too long is refused as not run" "$(cat "$DIR/out")" "400 not-run"
request 1 k /refunds -d a -H "Idempotency-Key: hello" >"$DIR/out"
equal "a malformed key is refused as not run" "$(cat "$DIR/out")" "422 not-run"
request 1 k / -H "Gentian-Hop: 00000000000000000000000000000000" >"$DIR/out"
equal "a forged hop header is refused as not run" "$(cat "$DIR/out")" "400 not-run"
request 1 k / -H "Gentian-Timeout-Ms: -3" >"$DIR/out"
equal "a negative timeout is refused as not run" "$(cat "$DIR/out")" "400 not-run"
for n in 1 2; do
  request $n notes /x -H "Note: a" -H "Note: b" -H "Note: a" >"$DIR/out"
  check "a header that is sent three times reaches the backend server three times, through daemon $n" grep -qi "^Notes-Seen: 3" "$DIR/head"
done
equal "two Host headers are refused" "$(raw $((PORTS + 201)) 'GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n')" "HTTP/1.1 400 Bad Request"
# Passed on as it is, such a request line could be read as another one by the upstream.
for target in '/a b' '/a\tb' '/a\x01b' 'a' '*'; do
  equal "a request line with the target '$target' is refused" "$(raw $((PORTS + 201)) "GET $target HTTP/1.1\r\nHost: h\r\n\r\n" | grep -c '^HTTP/1.1 400')" 1
done
equal "a method with a colon is refused" "$(raw $((PORTS + 201)) 'G:T / HTTP/1.1\r\nHost: h\r\n\r\n' | grep -c '^HTTP/1.1 400')" 1
for i in 1 2 3; do head -c 4000 /dev/urandom >"/dev/tcp/127.0.0.1/$((PORTS + 401))"; done 2>/dev/null
curl -s --noproxy '*' -X POST --data-binary 'not msgpack' "http://$PLATFORM/v1/streams/config/records" >/dev/null
printf '\x92\x63\x01' | curl -s --noproxy '*' -X POST --data-binary @- "http://$PLATFORM/v1/streams/config/records" >/dev/null
check "log records of an unknown version are refused with a log event" wait_for 5 grep -q "GS5106" "$DIR/inst-1.log"
check "and the next edit is accepted" ctl 1 w submit "$DIR/t.yaml"
printf 'wrong: 1\n' >"$DIR/bad.yaml"
equal "malformed tables are refused before submission" "$(ctl 1 w submit "$DIR/bad.yaml" >"$DIR/out" 2>&1; echo $?)" 2
check "the error names file and line" grep -q "bad.yaml:1:" "$DIR/out"
equal "malformed tables submitted without gentianctl are refused" "$(curl -s --noproxy '*' -o /dev/null -w '%{http_code}' -X POST -H "Authorization: Bearer $(cat "$DIR/credential-w")" --data-binary @"$DIR/bad.yaml" "$(admin_of 1)/v1/admin/tables?workspace=w&base=1&submission=x")" 422
equal "a request without a credential is refused" "$(curl -s --noproxy '*' -o /dev/null -w '%{http_code}' "$(admin_of 1)/v1/admin/members")" 401
sed 's/entry_port: .*/entry_port: 99999/' "$DIR/inst-1.yaml" >"$DIR/bad-settings.yaml"
"$BIN/gentianscaled" --settings "$DIR/bad-settings.yaml" 2>"$DIR/out"; code=$?
equal "invalid settings stop the start with exit code 2" "$code" 2
check "the error names file, line, field, found and allowed values" grep -q "bad-settings.yaml:4: field entry_port: found 99999, allowed 1 to 65535" "$DIR/out"
equal "the error is one line" "$(wc -l <"$DIR/out")" 1
equal "a port in use stops the start with exit code 3" "$("$BIN/gentianscaled" --settings "$DIR/inst-1.yaml" 2>/dev/null; echo $?)" 3
equal "both daemons still serve afterwards" "$(request 1 z /size/1 | cut -c1-3) $(request 2 z /size/1 | cut -c1-3)" "200 200"
check "the metrics are served as text" test "$(metric_of 1 gentian_requests_total)" -gt 5
