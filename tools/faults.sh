#!/usr/bin/env bash
# End-to-end fault injection on nine VMs in three failure domains, five of them keepers, with engines and a service.
# Kills, freezes, restarts and wipes VMs under load, then checks answers, histories, executions per request and memory
# held by engines. Exits with 0 only if every check passes. Usage: tools/faults.sh [SECONDS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
RANDOM=${2:-1}
build=build
cmake -S . -B $build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCARDAMOMPOST_TESTS=ON >/dev/null
ninja -C $build cardamompostd cardamompost_cli cardamompost_standin | tail -n 1

work=$(mktemp -d)
declare -A pids=()
stop_all() {
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
    done
    [ -n "${KEEP_LOGS:-}" ] && echo "logs in $work" || rm -rf "$work"
}
trap stop_all EXIT

domains=(apapa tincan onne)
write_settings() { # number
    local domain=${domains[$((($1 - 1) % 3))]}
    {
        echo "[vm]"
        echo "name = vm-$1"
        echo "failure_domain = $domain"
        echo "http = 127.0.0.1:1870$1"
        echo "peer = 127.0.0.1:1875$1"
        [ "$1" -le 5 ] && echo "keeper = true" && echo "data_folder = $work/data-$1"
        echo "log_file = $work/vm-$1.log"
        echo "directory_ttl_ms = 1000"
        echo "[system]"
        echo "partitions = 256"
        echo "bootstrap_key_sha256 = $(printf 'first-key' | sha256sum | cut -d' ' -f1)"
        for k in 1 2 3 4 5; do
            echo "[keeper vm-$k]"
            echo "peer = 127.0.0.1:1875$k"
            echo "failure_domain = ${domains[$(((k - 1) % 3))]}"
        done
    } >"$work/vm-$1.ini"
}
start_vm() { # number
    $build/cardamompostd --settings "$work/vm-$1.ini" >>"$work/vm-$1.out" 2>&1 &
    pids[vm-$1]=$!
}
kill_vm() { # number
    kill -KILL "${pids[vm-$1]}" 2>/dev/null || true
    wait "${pids[vm-$1]}" 2>/dev/null || true
}

engines="18761 18762 18763 18764 18765 18766 18767 18768 18769"
$build/cardamompost-standin --engine-ports $engines --service-ports 18771 --threads 2 &
pids[standin]=$!
for i in 1 2 3 4 5 6 7 8 9; do
    write_settings $i
    start_vm $i
done
export CARDAMOMPOST_ENTRIES=127.0.0.1:18701,127.0.0.1:18702,127.0.0.1:18703,127.0.0.1:18704,127.0.0.1:18705,127.0.0.1:18706,127.0.0.1:18707,127.0.0.1:18708,127.0.0.1:18709
cli=$build/cardamompost
for _ in $(seq 200); do
    $cli status --key first-key --output json 2>/dev/null | grep -q '"partitions_without_owner":0' && break
    sleep 0.1
done

{
    grep -v -A5 'xxx' examples/01-okpara/okpara.ini | sed '/^\[replica/,/^$/d; s/127.0.0.1:18621/127.0.0.1:18771/'
    n=0
    for port in $engines; do
        printf '\n[replica stow-agents/%s]\ndeployment = stow-agents\naddress = 127.0.0.1:%s\nfailure_domain = %s\n' $n $port "${domains[$((n % 3))]}"
        n=$((n + 1))
    done
} >"$work/okpara.ini"
$cli config submit "$work/okpara.ini" --key first-key --wait 8000

$cli load okpara --key officer-key --deployment stow-agents --service cargo-registry --rate 6 --seconds "$seconds" --seed 7 \
    --report "$work/report.json" >"$work/load.txt" 2>"$work/progress.txt" &
pids[load]=$!
faults=0
killed=0
frozen=0
wiped=0
cut=0
end=$(($(date +%s) + seconds - 6))
while [ "$(date +%s)" -lt $end ]; do
    sleep 1
    victim=$((RANDOM % 9 + 1))
    faults=$((faults + 1))
    case $((RANDOM % 5)) in
    0 | 1)
        kill_vm $victim
        sleep 1
        start_vm $victim
        killed=$((killed + 1))
        ;;
    2)
        kill -STOP "${pids[vm-$victim]}" 2>/dev/null || true
        sleep 3
        kill -CONT "${pids[vm-$victim]}" 2>/dev/null || true
        frozen=$((frozen + 1))
        ;;
    3)
        # Wipes one disk at a time and waits for it to be restored.
        keeper=$((RANDOM % 5 + 1))
        kill_vm $keeper
        rm -rf "$work/data-$keeper"
        start_vm $keeper
        wiped=$((wiped + 1))
        sleep 6
        ;;
    4)
        port=1876$((RANDOM % 9 + 1))
        curl -s -m 2 -d '{"cuts":5,"cut_after_tokens":3}' http://127.0.0.1:$port/standin/faults >/dev/null || true
        curl -s -m 2 -d '{"drop_answers":1}' http://127.0.0.1:18771/standin/faults >/dev/null || true
        cut=$((cut + 1))
        ;;
    esac
done
loadCode=0
wait "${pids[load]}" || loadCode=$?
unset "pids[load]"
cat "$work/load.txt"

executions=$(curl -s http://127.0.0.1:18771/standin/executions)
doubled=$(echo "$executions" | tr ',' '\n' | grep -cvE ':1[}]*$' || true)
[ "$executions" = "{}" ] && doubled=0
broken=$(sed 's/.*"broken_histories":\([0-9]*\).*/\1/' "$work/report.json")
silence=$(sed 's/.*"longest_silence_ms":\([0-9.E+]*\).*/\1/' "$work/report.json")
held=1
for _ in $(seq 150); do
    held=0
    for port in $engines; do
        curl -s http://127.0.0.1:$port/standin/stats | grep -q '"held":{}' || held=$((held + 1))
    done
    [ $held = 0 ] && break
    sleep 0.2
done
crashes=$(cat "$work"/vm-*.out | wc -l)
echo "faults $faults (killed $killed, frozen $frozen, disks wiped $wiped, streams and answers cut $cut)"
echo "histories lost, mixed or reordered $broken, doubled executions $doubled, engines holding memory $held, process failures $crashes, longest silence $silence ms"
[ "$crashes" = 0 ] || head -n 5 "$work"/vm-*.out
[ "$broken" = 0 ] && [ "$doubled" = 0 ] && [ $held = 0 ] && [ "$crashes" = 0 ] || exit 1
exit $loadCode
