#!/usr/bin/env bash
# Runs the randomized fault simulations for many seeds on all cores and prints a failing seed.
# Usage: tools/soak.sh [SEED_COUNT] [FIRST_SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-400}
first=${2:-1}
jobs=$(nproc)
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCARDAMOMPOST_TESTS=ON >/dev/null
ninja -C build cardamompost_soak | tail -n 1
share=$(((seeds + jobs - 1) / jobs))
pids=()
for ((i = 0; i < jobs; ++i)); do
    from=$((first + i * share))
    build/fuzzing/cardamompost_soak $from $((from + share - 1)) &
    pids+=($!)
done
status=0
for pid in "${pids[@]}"; do
    wait "$pid" || status=1
done
exit $status
