#!/usr/bin/env bash
# Restarts the VMs of a system of five one by one with SIGTERM under load, and checks that no call is interrupted,
# refused or left with an unknown outcome. Exits with 0 only if every check passes. Usage: tools/drain.sh
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
cmake -S . -B $build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCARDAMOMPOST_TESTS=ON >/dev/null
ninja -C $build cardamompostd cardamompost_cli cardamompost_standin | tail -n 1
work=$(mktemp -d)
source tools/scripts/local_system.sh
trap 'stop_system; rm -rf "$work"' EXIT
slots=16
start_system 5 3 256 6
$build/cardamompost load okpara --key officer-key --deployment stow-agents --service cargo-registry --rate 5 --seconds 32 --seed 3 \
    --report "$work/report.json" >"$work/load.txt" 2>/dev/null &
load=$!
longest=0
for i in 1 2 3 4 5; do
    sleep 1
    start=$(date +%s%N)
    kill -TERM "${pids[vm-$i]}"
    code=0
    wait "${pids[vm-$i]}" || code=$?
    took=$((($(date +%s%N) - start) / 1000000))
    echo "vm-$i ended with code $code after $took ms"
    [ "$code" = 0 ] || exit 1
    [ $took -gt $longest ] && longest=$took
    start_vm $i
    wait_until_ready 5
done
code=0
wait $load || code=$?
cat "$work/load.txt"
grep -q '"unknown":[1-9]' "$work/report.json" && { echo "a call was left unknown"; code=1; }
grep -q '"not_run":[1-9]' "$work/report.json" && { echo "a call was refused"; code=1; }
[ -s "$work"/vm-1.out ] && { cat "$work"/vm-*.out; code=1; }
exit $code
