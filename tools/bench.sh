#!/usr/bin/env bash
# Runs the benchmarks of storage, placement decisions and added latency, with bounds on ratios within one run.
# Usage: tools/bench.sh
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
cmake -S . -B $build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCARDAMOMPOST_TESTS=ON >/dev/null
ninja -C $build | tail -n 1
status=0
$build/benchmarks/bench_storage || status=1
$build/benchmarks/bench_decisions || status=1
work=$(mktemp -d)
source tools/scripts/local_system.sh
trap 'stop_system; rm -rf "$work"' EXIT
slots=64
for sync in true false; do
    start_system 3 3 256 3 "sync_writes = $sync" "--decode-ms 1 --prefill-ms 0.001"
    python3 tools/scripts/first_token.py 127.0.0.1:22000 127.0.0.1:20001 "$sync" || status=1
    stop_system
done
exit $status
