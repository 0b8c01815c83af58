#!/usr/bin/env bash
# Compares the scheduling policies in virtual time, writes docs/results/policies.tsv and plots of latency against load,
# and fails if a bound is not met.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCARDAMOMPOST_TESTS=ON >/dev/null
ninja -C build bench_policies | tail -n 1
mkdir -p docs/results
status=0
build/benchmarks/bench_policies docs/results/policies.tsv || status=1
if command -v gnuplot >/dev/null; then
    for pair in okpara:plan-session okpara:trim-check gatewise:dispatcher-session gatewise:gate-reshuffle; do
        profile=${pair%%:*}
        class=${pair##*:}
        {
            echo "set terminal svg size 720,440"
            echo "set output 'docs/results/policies-$profile-$class.svg'"
            echo "set title 'p95 of program work time, $profile, $class'"
            echo "set xlabel 'load, share of capacity'"
            echo "set ylabel 'ms'"
            echo "set logscale y"
            echo "set key left top"
            plots=""
            for policy in fcfs+least-load fcfs+round-robin fcfs+random ranked+least-load fcfs+warm-detour las+warm-detour; do
                name=$(echo $policy | tr '+-' '__')
                echo "\$$name << END"
                awk -F'\t' -v p=$profile -v q=$policy -v c=$class '$1 == p && $2 == q && $3 == "even" && $5 == c {print $4, $8}' docs/results/policies.tsv
                echo "END"
                plots="$plots${plots:+, }\$$name with linespoints title '$policy'"
            done
            echo "plot $plots"
        } | gnuplot
    done
fi
exit $status
