#!/usr/bin/env bash
# Measures resource use per node as the system grows, on one machine with stand-in engines. Writes
# docs/results/capacity.tsv (series, x, value), the fits in docs/results/capacity-fits.md and their plots.
# Usage: tools/capacity.sh [OUTPUT_FOLDER]
# With --changes, measures configuration changes only and replaces their rows.
set -euo pipefail
cd "$(dirname "$0")/.."
part=all
[ "${1:-}" != --changes ] || { part=changes; shift; }
out=${1:-docs/results}
build=build
cmake -S . -B $build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCARDAMOMPOST_TESTS=ON >/dev/null
ninja -C $build | tail -n 1
work=$(mktemp -d)
source tools/scripts/local_system.sh
trap 'stop_system; rm -rf "$work"' EXIT
mkdir -p "$out"
rows=$work/rows.tsv
: >"$rows"
row() { printf '%s\t%s\t%s\n' "$1" "$2" "$3" | tee -a "$rows"; }
calc() { awk "BEGIN {printf \"%.6g\", $*}"; }
now() { date +%s.%N; }

sum_metric() { # nodes name
    local total=0
    for ((i = 1; i <= $1; ++i)); do total=$(calc "$total + $(metric $i "$2")"); done
    echo "$total"
}

measure_idle_load() { # nodes
    local leader cpu0 cpu1 leaderCpu0 leaderCpu1 bytes0 bytes1 leaderBytes0 leaderBytes1 seconds=8
    leader=$(leader_number)
    sleep 3
    cpu0=$(sum_metric "$1" cardamompost_process_cpu_seconds)
    bytes0=$(sum_metric "$1" cardamompost_peer_bytes_sent)
    leaderCpu0=$(metric "$leader" cardamompost_process_cpu_seconds)
    leaderBytes0=$(calc "$(metric "$leader" cardamompost_peer_bytes_sent) + $(metric "$leader" cardamompost_peer_bytes_received)")
    local t0 t1
    t0=$(now)
    sleep $seconds
    cpu1=$(sum_metric "$1" cardamompost_process_cpu_seconds)
    bytes1=$(sum_metric "$1" cardamompost_peer_bytes_sent)
    leaderCpu1=$(metric "$leader" cardamompost_process_cpu_seconds)
    leaderBytes1=$(calc "$(metric "$leader" cardamompost_peer_bytes_sent) + $(metric "$leader" cardamompost_peer_bytes_received)")
    t1=$(now)
    local span
    span=$(calc "$t1 - $t0")
    row idle_cpu_percent_of_core_a_node "$1" "$(calc "100 * ($cpu1 - $cpu0 - $leaderCpu1 + $leaderCpu0) / ($1 - 1) / $span")"
    row idle_cpu_percent_of_core_leader "$1" "$(calc "100 * ($leaderCpu1 - $leaderCpu0) / $span")"
    # Doubled, since each byte sent is also received by another node.
    row idle_bytes_a_second_a_node "$1" "$(calc "2 * ($bytes1 - $bytes0) / $1 / $span")"
    row idle_bytes_a_second_leader "$1" "$(calc "($leaderBytes1 - $leaderBytes0) / $span")"
    row idle_resident_mb_a_node "$1" "$(calc "$(sum_metric "$1" cardamompost_resident_bytes) / $1 / 1e6")"
}

measure_propagation_time() { # nodes
    local total=0 t0 t1
    for round in 1 2 3 4 5; do
        sed "s/rank = 5/rank = $((5 + round))/" "$work/document.ini" >"$work/changed.ini"
        t0=$(now)
        $build/cardamompost config submit "$work/changed.ini" --key duty-key --wait 20000 >/dev/null
        t1=$(now)
        total=$(calc "$total + $t1 - $t0")
    done
    row change_in_force_everywhere_seconds "$1" "$(calc "$total / 5")"
}

measure_change_cost() { # nodes: cost of a configuration change above the idle load
    local leader count=60 cpu0 cpu1 leaderCpu0 leaderCpu1 bytes0 bytes1 t0 t1 idleCpu idleLeaderCpu idleBytes
    leader=$(leader_number)
    sleep 1
    # Takes the same readings over an idle window and over a window of changes.
    for window in idle changes; do
        cpu0=$(sum_metric "$1" cardamompost_process_cpu_seconds)
        bytes0=$(sum_metric "$1" cardamompost_peer_bytes_sent)
        leaderCpu0=$(metric "$leader" cardamompost_process_cpu_seconds)
        t0=$(now)
        if [ $window = idle ]; then
            sleep 6
        else
            for ((i = 1; i <= count; ++i)); do
                sed "s/rank = 5/rank = $((20 + i % 50))/" "$work/document.ini" >"$work/changed.ini"
                $build/cardamompost config submit "$work/changed.ini" --key duty-key >/dev/null
                sleep 0.1
            done
        fi
        t1=$(now)
        cpu1=$(sum_metric "$1" cardamompost_process_cpu_seconds)
        bytes1=$(sum_metric "$1" cardamompost_peer_bytes_sent)
        leaderCpu1=$(metric "$leader" cardamompost_process_cpu_seconds)
        if [ $window = idle ]; then
            idleCpu=$(calc "($cpu1 - $cpu0 - $leaderCpu1 + $leaderCpu0) / ($t1 - $t0)")
            idleLeaderCpu=$(calc "($leaderCpu1 - $leaderCpu0) / ($t1 - $t0)")
            idleBytes=$(calc "($bytes1 - $bytes0) / ($t1 - $t0)")
        fi
    done
    local span
    span=$(calc "$t1 - $t0")
    row change_cpu_ms_a_node "$1" "$(calc "1000 * ($cpu1 - $cpu0 - $leaderCpu1 + $leaderCpu0 - $idleCpu * $span) / ($1 - 1) / $count")"
    row change_cpu_ms_leader "$1" "$(calc "1000 * ($leaderCpu1 - $leaderCpu0 - $idleLeaderCpu * $span) / $count")"
    row change_bytes_a_node "$1" "$(calc "2 * ($bytes1 - $bytes0 - $idleBytes * $span) / $1 / $count")"
}

create_programs() { # count
    local body='{"deployment":"stow-agents","class":"plan-session"}'
    seq "$1" | xargs -P 8 -I{} curl -s -o /dev/null -H 'Authorization: Bearer officer-key' -H 'Idempotency-Key: capacity-{}' -d "$body" \
        "http://127.0.0.1:20001/v1/programs"
}

measure_takeover() { # programs nodes
    local victim t0 t1 before
    victim=$(leader_number)
    victim=$((victim == 2 ? 3 : 2))
    t0=$(now)
    kill -KILL "${pids[vm-$victim]}"
    wait "${pids[vm-$victim]}" 2>/dev/null || true
    unset "pids[vm-$victim]"
    sleep 1
    for _ in $(seq 400); do
        local status
        status=$($build/cardamompost status --key duty-key --output json 2>/dev/null || true)
        echo "$status" | grep -q '"state":"lost"' && echo "$status" | grep -q '"partitions_without_owner":0' && break
        sleep 0.05
    done
    t1=$(now)
    row takeover_seconds "$1" "$(calc "$t1 - $t0")"
}

for nodes in 3 9 27 81; do
    start_system $nodes 3 1024 3
    [ $part = changes ] || measure_idle_load $nodes
    [ $part = changes ] || measure_propagation_time $nodes
    measure_change_cost $nodes
    stop_system
done
if [ $part = changes ]; then
    grep -v '^change_\(cpu\|bytes\)' "$out/capacity.tsv" >>"$rows"
    cp "$rows" "$out/capacity.tsv"
    python3 tools/scripts/fit.py "$out/capacity.tsv" "$out" >"$out/capacity-fits.md"
    exit 0
fi

for programs in 0 2000 6000; do
    start_system 9 3 256 3
    before=$(sum_metric 9 cardamompost_resident_bytes)
    [ $programs = 0 ] || create_programs $programs
    row resident_mb_all_nodes "$programs" "$(calc "$(sum_metric 9 cardamompost_resident_bytes) / 1e6")"
    measure_takeover $programs 9
    stop_system
done

slots=64
for profile in short-answers long-answers; do
    for rate in 50 100 200; do
        start_system 3 3 256 9 "" "--decode-ms 1 --prefill-ms 0.001"
        cpu0=$(sum_metric 3 cardamompost_process_cpu_seconds)
        bytes0=$(sum_metric 3 cardamompost_peer_bytes_sent)
        $build/cardamompost load $profile --key officer-key --deployment stow-agents --rate $rate --seconds 8 --report "$work/report.json" >/dev/null 2>&1 || true
        cpu1=$(sum_metric 3 cardamompost_process_cpu_seconds)
        bytes1=$(sum_metric 3 cardamompost_peer_bytes_sent)
        calls=$(sed 's/.*"calls":\([0-9]*\).*/\1/' "$work/report.json")
        row "cpu_ms_a_program_$profile" $rate "$(calc "1000 * ($cpu1 - $cpu0) / $calls")"
        row "peer_bytes_a_program_$profile" $rate "$(calc "($bytes1 - $bytes0) / $calls")"
        stop_system
    done
done
cp "$rows" "$out/capacity.tsv"
python3 tools/scripts/fit.py "$out/capacity.tsv" "$out" >"$out/capacity-fits.md"
cat "$out/capacity-fits.md"
