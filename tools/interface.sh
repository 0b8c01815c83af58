#!/usr/bin/env bash
# Tests the HTTP interface of three VMs with valid and invalid requests, with TLS between the VMs. Prints one line per
# expectation and exits with 0 only if all are met. Usage: tools/interface.sh
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
cmake -S . -B $build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCARDAMOMPOST_TESTS=ON >/dev/null
ninja -C $build cardamompostd cardamompost_cli cardamompost_standin | tail -n 1
work=$(mktemp -d)
source tools/scripts/local_system.sh
trap 'stop_system; rm -rf "$work"' EXIT
failures=0

make_certificates() {
    openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -keyout "$work/authority.key" -out "$work/authority.pem" -days 2 -subj /CN=test 2>/dev/null
    openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -keyout "$work/vm.key" -out "$work/vm.csr" -subj /CN=vm 2>/dev/null
    openssl x509 -req -in "$work/vm.csr" -CA "$work/authority.pem" -CAkey "$work/authority.key" -CAcreateserial -out "$work/vm.pem" -days 2 2>/dev/null
}

expect() { # description wanted-pattern request...
    local description=$1 wanted=$2
    shift 2
    local got
    got=$(curl -s -i -m 15 "$@" 2>&1 | tr -d '\r' || true)
    if echo "$got" | grep -qE "$wanted"; then
        echo "holds: $description"
    else
        echo "BROKEN: $description: wanted $wanted, got:"
        echo "$got" | head -n 12
        failures=$((failures + 1))
    fi
}

make_certificates
start_system 3 3 256 3 "$(printf 'tls_certificate = %s/vm.pem\ntls_key = %s/vm.key\ntls_authority = %s/authority.pem' "$work" "$work" "$work")"
base=http://127.0.0.1
officer='Authorization: Bearer officer-key'
duty='Authorization: Bearer duty-key'
calls() { echo "$base:2000$1/v1/programs/$program/calls"; }

expect "a program is created" '^HTTP/1.1 201' -H "$officer" -H 'Idempotency-Key: one' -d '{"deployment":"stow-agents","class":"plan-session","budget_tokens":3000}' $base:20001/v1/programs
program=$(curl -s -H "$officer" -H 'Idempotency-Key: one' -d '{"deployment":"stow-agents","class":"plan-session","budget_tokens":3000}' $base:20002/v1/programs | sed 's/.*"program":"\([0-9a-f]*\)".*/\1/')
expect "the same key at another VM finds the same program" "\"program\":\"$program\"" -H "$officer" $base:20003/v1/programs/$program
expect "the key with another body is a conflict" 'idempotency-conflict' -H "$officer" -H 'Idempotency-Key: one' -d '{"deployment":"stow-agents","class":"trim-check"}' $base:20001/v1/programs
expect "a wrong key" '^HTTP/1.1 401' -H 'Authorization: Bearer nobody' $base:20001/v1/models
expect "no key" '"unauthenticated"' $base:20001/v1/models
expect "an operator's key is no caller's" '^HTTP/1.1 401' -H "$duty" $base:20001/v1/models
expect "a caller's key is no operator's" '^HTTP/1.1 403' -H "$officer" $base:20001/v1/operator/status
expect "an unknown program" '^HTTP/1.1 404' -H "$officer" $base:20002/v1/programs/0123456789abcdef0123456789abcdef
expect "a program id of another form" '^HTTP/1.1 404' -H "$officer" $base:20002/v1/programs/nonsense
expect "an undeclared class" '^HTTP/1.1 403' -H "$officer" -d '{"deployment":"stow-agents","class":"nonsense"}' $base:20001/v1/programs
expect "malformed JSON" 'the body is not JSON' -H "$officer" -d '{"deployment"' $base:20001/v1/programs
expect "an unknown field is named" "'colour' is not known" -H "$officer" -d '{"deployment":"stow-agents","class":"plan-session","colour":1}' $base:20001/v1/programs
expect "invalid UTF-8" 'not valid UTF-8' -H "$officer" --data-binary $'{"deployment":"\xff"}' $base:20001/v1/programs
expect "an unknown path" '^HTTP/1.1 404' -H "$officer" $base:20001/v1/nonsense
expect "a wrong method" '^HTTP/1.1 405' -H "$officer" -X PUT $base:20001/v1/programs
head -c 5000000 /dev/zero | tr '\0' 'x' >"$work/huge"
expect "a huge body" '^HTTP/1.1 413' -H "$officer" --data-binary @"$work/huge" -H 'Expect:' $base:20001/v1/programs
expect "huge headers" '^HTTP/1.1 431' -H "$officer" -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' 'x')" $base:20001/v1/models
expect "not HTTP at all" '^HTTP/1.1 400' --http0.9 -X $'NONSENSE\x01' $base:20001/
expect "a sequence too far" "'sequence' has to be 1" -H "$officer" -H 'Idempotency-Key: early' -d '{"sequence":3,"kind":"model","messages":[{"role":"user","content":"x"}]}' "$(calls 1)"
expect "the first call" 'Cardamompost-Outcome: ran' -H "$officer" -H 'Idempotency-Key: c1' -d '{"sequence":1,"kind":"model","messages":[{"role":"user","content":"x"}],"max_tokens":5}' "$(calls 2)"
expect "the same call again gives the same answer" '"attempts":1' -H "$officer" -H 'Idempotency-Key: c1' -d '{"sequence":1,"kind":"model","messages":[{"role":"user","content":"x"}],"max_tokens":5}' "$(calls 3)"
expect "another body under its sequence is a conflict" 'idempotency-conflict' -H "$officer" -d '{"sequence":1,"kind":"model","messages":[{"role":"user","content":"y"}],"max_tokens":5}' "$(calls 1)"
expect "the second call, streamed" 'event: done' -N -H "$officer" -d '{"sequence":2,"kind":"model","messages":[{"role":"user","content":"x"}],"max_tokens":5,"stream":true}' "$(calls 1)"
expect "a stream is resumed behind an event" 'id: 4294967300' -N -H "$officer" -H 'Last-Event-ID: 4294967299' "$(calls 3)/2"
expect "the refused third call stays refused under its key" 'out-of-order' -H "$officer" -H 'Idempotency-Key: early' -d '{"sequence":3,"kind":"model","messages":[{"role":"user","content":"x"}]}' "$(calls 1)"
expect "and runs under another" 'Cardamompost-Outcome: ran' -H "$officer" -H 'Idempotency-Key: late' -d '{"sequence":3,"kind":"model","messages":[{"role":"user","content":"x"}],"max_tokens":4}' "$(calls 1)"
expect "a call beyond the budget" 'budget-exhausted' -H "$officer" -d "{\"sequence\":4,\"kind\":\"model\",\"messages\":[{\"role\":\"user\",\"content\":\"$(head -c 4000 /dev/zero | tr '\0' 'x')\"}]}" "$(calls 1)"
expect "a service that the caller may not use" '^HTTP/1.1 403' -H "$officer" -d '{"sequence":4,"kind":"service","service":"other","method":"POST","path":"/"}' "$(calls 1)"
curl -s -d '{"drop_answers":1}' $base:22900/standin/faults >/dev/null
expect "a declaration whose answer is lost is unknown" 'Cardamompost-Outcome: unknown' -H "$officer" -d '{"sequence":4,"kind":"service","service":"cargo-registry","method":"POST","path":"/d","body":"x"}' "$(calls 2)"
expect "and is not sent again" 'Cardamompost-Outcome: unknown' -H "$officer" -d '{"sequence":4,"kind":"service","service":"cargo-registry","method":"POST","path":"/d","body":"x"}' "$(calls 1)"
expect "the service executed it once" "\"$program-4\":1[,}]" $base:22900/standin/executions
expect "an OpenAI client's call" '"finish_reason":"length"' -H "$officer" -d '{"model":"stow-7b","messages":[{"role":"user","content":"x"}],"max_tokens":5}' $base:20003/v1/chat/completions
expect "an OpenAI client's call in a program" "Cardamompost-Program: $program" -H "$officer" -H "Cardamompost-Program: $program" -d '{"model":"stow-7b","messages":[{"role":"user","content":"next"}],"max_tokens":5}' $base:20003/v1/chat/completions
expect "an unknown model" '^HTTP/1.1 404' -H "$officer" -d '{"model":"nonsense","messages":[{"role":"user","content":"x"}]}' $base:20003/v1/chat/completions
curl -s -d '{"cuts":2,"cut_after_tokens":2}' $base:22000/standin/faults >/dev/null
curl -s -d '{"cuts":2,"cut_after_tokens":2}' $base:22001/standin/faults >/dev/null
curl -s -d '{"cuts":2,"cut_after_tokens":2}' $base:22002/standin/faults >/dev/null
expect "a call whose stream is cut is whole" '"completion_tokens":20' -H "$officer" -d '{"model":"stow-7b","messages":[{"role":"user","content":"cut me"}],"max_tokens":20}' $base:20002/v1/chat/completions

# Creates state on an engine for a program that does not exist.
curl -s -d '{"program":"feedfeedfeedfeedfeedfeedfeedfeed","messages":[{"role":"user","content":"x"}],"max_tokens":2}' $base:22000/v1/chat/completions >/dev/null
for _ in $(seq 250); do
    curl -s $base:22000/v1/cache/programs | grep -q feedfeed || break
    sleep 0.1
done
expect "what an engine holds for a program that nobody knows is freed" '"programs":\[(("[0-9a-f]*"),?)*\]' $base:22000/v1/cache/programs
curl -s $base:22000/v1/cache/programs | grep -q feedfeed && failures=$((failures + 1))

sed 's/rank = 5/rank = 6/' "$work/document.ini" >"$work/next.ini"
expect "a change without a base" 'If-Match' -H "$duty" -X PUT --data-binary @"$work/next.ini" $base:20001/v1/operator/configuration
expect "a faulty document" '"line":' -H "$duty" -X PUT -H 'If-Match: 1' --data-binary $'[class x]\nrank = no\n' $base:20001/v1/operator/configuration
expect "a change" '"in_force_everywhere":true' -H "$duty" -X PUT -H 'If-Match: 1' -H 'Idempotency-Key: k' --data-binary @"$work/next.ini" "$base:20001/v1/operator/configuration?wait_ms=5000"
expect "the same change again" '"version":2' -H "$duty" -X PUT -H 'If-Match: 1' -H 'Idempotency-Key: k' --data-binary @"$work/next.ini" $base:20002/v1/operator/configuration
expect "an operator who was late" '"current_version":2' -H "$duty" -X PUT -H 'If-Match: 1' -H 'Idempotency-Key: l' --data-binary @"$work/document.ini" $base:20003/v1/operator/configuration

sed 's/^program_budget_tokens = 200000/program_budget_tokens = 200000\ncalls_per_second = 20/' "$work/next.ini" >"$work/limited.ini"
$build/cardamompost config submit "$work/limited.ini" --key duty-key --wait 5000 >/dev/null
sleep 1
started=$(date +%s%N)
seq 200 | xargs -P 12 -I{} curl -s -o /dev/null -m 15 -w '%{http_code}\n' -H "$officer" -d '{"model":"stow-7b","messages":[{"role":"user","content":"x"}],"max_tokens":1}' "$base:20001/v1/chat/completions" >"$work/codes"
tookMs=$((($(date +%s%N) - started) / 1000000))
served=$(grep -c 200 "$work/codes" || true)
refused=$(grep -c 429 "$work/codes" || true)
# The limit is 20 requests per second with a burst of 4.
allowed=$((20 * tookMs / 1000 + 5))
echo "of 200 calls with a rate of 20 a second: $served served and $refused refused in $tookMs ms, allowed $allowed"
[ $((served + refused)) = 200 ] && [ "$served" -le "$allowed" ] && [ "$served" -gt 0 ] || failures=$((failures + 1))
for i in 1 2 3; do [ ! -s "$work/vm-$i.out" ] || { cat "$work/vm-$i.out"; failures=$((failures + 1)); }; done
echo "broken: $failures"
[ $failures = 0 ]
