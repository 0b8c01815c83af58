#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a bounded number of inputs with a fixed seed.
# Usage: fuzz.sh [RUNS [SEED]]
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${1:-20000}
seed=${2:-1}
out=build/fuzz
mkdir -p $out
flags=(-std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -I. -Iinclude -isystem schema/generated
    -DSPDLOG_FMT_EXTERNAL)
# Sources used by the targets. None uses coroutines, which clang 14 cannot compile with the library of g++ 12.
sources=(src/cardamompost/core/*.cpp src/cardamompost/accounts/*.cpp src/cardamompost/config/*.cpp src/cardamompost/control/cp_control_*.cpp
    src/cardamompost/consensus/cp_membership.cpp src/cardamompost/program/*.cpp src/cardamompost/policy/cp_policy_registry.cpp
    src/plugins/*.cpp src/cardamompost/net/cp_frame.cpp src/cardamompost/net/cp_frame_encoder.cpp
    src/cardamompost/net/cp_frame_decoder.cpp src/cardamompost/net/cp_schema_codec.cpp src/cardamompost/net/cp_ledger_schema.cpp
    src/cardamompost/routing/*.cpp platform/cp_platform_*.cpp src/cardamompost/net/cp_http_message.cpp src/cardamompost/net/cp_sse_parser.cpp
    src/gateway/cp_event_stream_scanner.cpp schema/generated/cardamompost.capnp.c++)
for source in "${sources[@]}"; do
    echo "$source $out/$(echo "$source" | tr '/+' '__').o"
done >$out/list.txt
xargs -P "$(nproc)" -L 1 bash -c 'ccache clang++ '"$(printf '%q ' "${flags[@]}")"' -x c++ -c "$0" -o "$1"' <$out/list.txt
for target in ini_document call_request frame platform event_stream; do
    clang++ "${flags[@]}" fuzzing/fuzz_$target.cpp $(cut -d' ' -f2 $out/list.txt) -lcapnp -lkj -lfmt -lxxhash -lcrypto -lboost_json -o $out/fuzz_$target
    rm -rf "$out/corpus_$target"
    mkdir -p "$out/corpus_$target"
    cp fuzzing/seeds/"$target"/* "$out/corpus_$target/" 2>/dev/null || true
    if ! $out/fuzz_$target -runs="$runs" -seed="$seed" -max_len=4096 -print_final_stats=0 -verbosity=0 \
        -artifact_prefix=$out/ $out/corpus_$target >$out/$target.log 2>&1; then
        tail -n 30 $out/$target.log
        echo "fuzz target $target failed"
        exit 1
    fi
    echo "$target: $runs inputs, no failure"
done
