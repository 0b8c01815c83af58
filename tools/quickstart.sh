#!/usr/bin/env bash
# Runs a demonstration on one machine: three VMs, three engines and a service as processes on loopback. Installs
# packages, builds, runs programs, kills the owner of one between two turns and checks the results.
# Exits with 0 only if every check passes.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/scripts/packages.sh
install_packages

build=build
cmake -S . -B $build -G Ninja -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCARDAMOMPOST_TESTS=ON >/dev/null
ninja -C $build cardamompostd cardamompost_cli cardamompost_standin | tail -n 1

work=$(mktemp -d)
declare -A pids=()
stop_all() {
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

write_settings() { # number failure-domain
    cat > "$work/vm-$1.ini" <<INI
[vm]
name = vm-$1
failure_domain = $2
http = 127.0.0.1:1860$1
peer = 127.0.0.1:1865$1
keeper = true
data_folder = $work/vm-$1
log_file = $work/vm-$1.log
directory_ttl_ms = 1000

[system]
bootstrap_key_sha256 = $(printf 'first-key' | sha256sum | cut -d' ' -f1)

[keeper vm-1]
peer = 127.0.0.1:18651
failure_domain = apapa

[keeper vm-2]
peer = 127.0.0.1:18652
failure_domain = tincan

[keeper vm-3]
peer = 127.0.0.1:18653
failure_domain = onne
INI
}

start_vm() { # number
    $build/cardamompostd --settings "$work/vm-$1.ini" &
    pids[vm-$1]=$!
}

step() { printf '\n== %s\n' "$*"; }

fail() {
    echo "FAILED: $*" >&2
    tail -n 5 "$work"/*.log >&2 || true
    exit 1
}

step "starting three VMs in the failure domains apapa, tincan and onne, three engines and a service"
$build/cardamompost-standin --engine-ports 18611 18612 18613 --service-ports 18621 &
pids[standin]=$!
domains=(apapa tincan onne)
for i in 1 2 3; do
    write_settings $i "${domains[$((i - 1))]}"
    start_vm $i
done
export CARDAMOMPOST_ENTRIES=127.0.0.1:18601,127.0.0.1:18602,127.0.0.1:18603
cli=$build/cardamompost

ready=0
for _ in $(seq 200); do
    if $cli status --key first-key --output json 2>/dev/null | grep -q '"partitions_without_owner":0'; then
        ready=1
        break
    fi
    sleep 0.05
done
[ $ready = 1 ] || fail "the VMs did not share the partitions in time"

step "submitting the configuration"
$cli config submit examples/01-okpara/okpara.ini --key first-key --wait 8000 || fail "the configuration was not accepted everywhere"
$cli status --key duty-key

export CARDAMOMPOST_KEY=officer-key
step "a trim check"
$cli program run examples/01-okpara/trim-check.ini || fail "the trim check"

step "a cargo declaration that may not be repeated"
$cli program run examples/01-okpara/cargo-declaration.ini || fail "the cargo declaration"

step "a plan session, its first two turns"
$cli program run examples/01-okpara/plan-session.ini --transcript "$work/plan.json" --to 2 --keep || fail "the first turns"
program=$(sed 's/.*"program":"\([0-9a-f]*\)".*/\1/' "$work/plan.json")
owner=$($cli entries --program "$program" --output json | sed 's/.*"entries":\[{"name":"\([^"]*\)".*/\1/')

step "killing $owner, the owner of the plan session"
kill -KILL "${pids[$owner]}"
wait "${pids[$owner]}" 2>/dev/null || true
unset "pids[$owner]"

step "the plan session goes on"
$cli program run examples/01-okpara/plan-session.ini --transcript "$work/plan.json" --from 3 || fail "the turns after the kill"

step "what the service executed"
executions=$(curl -s http://127.0.0.1:18621/standin/executions)
echo "$executions"
echo "$executions" | grep -Eq '^\{"[0-9a-f-]+":1\}$' || fail "the declaration was not executed exactly once"

step "what the engines still hold of programs that have ended"
held=1
for _ in $(seq 100); do
    held=0
    for port in 18611 18612 18613; do
        curl -s http://127.0.0.1:$port/standin/stats | grep -q '"held":{}' || held=1
    done
    [ $held = 0 ] && break
    sleep 0.1
done
[ $held = 0 ] || fail "an engine holds memory for a program that has ended"
echo "nothing"

step "all of it held"
