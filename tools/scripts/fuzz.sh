#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a bounded number of inputs with a fixed seed.
# Usage: fuzz.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${1:-20000}
out=build/fuzz
mkdir -p $out
# While KNOWN-RED.txt lists this test, a run of the target 'frame' that ends in the fault shown by the test is repeated
# with the next random seed. Each run starts from the inputs in fuzzing/seeds, since a corpus that has reached the fault
# soon reaches it again.
known_test=control_state/a_command_that_declares_more_moves_than_its_size_allows_is_rejected
max_attempts=5

# Usage: is_known_fault TARGET LOG. Another decoder that runs out of memory is another fault, so the innermost stack
# frame in this project's sources must be decodeCommandMessage().
is_known_fault() {
    local frame
    [ "$1" = frame ] || return 1
    grep -qs "^test_control $known_test " KNOWN-RED.txt || return 1
    grep -qF 'libFuzzer: out-of-memory (malloc(' "$2" || return 1
    frame=$(grep -m 1 -E '^ +#[0-9]+ .*[ /](src|include)/cardamompost/' "$2") || return 1
    [[ $frame == *' in cardamompost::(anonymous namespace)::decodeCommandMessage('* ]]
}

# Usage: reset_corpus TARGET
reset_corpus() {
    rm -rf "$out/corpus_$1"
    mkdir -p "$out/corpus_$1"
    cp fuzzing/seeds/"$1"/* "$out/corpus_$1/" 2>/dev/null || true
}

flags=(-std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -I. -Iinclude -isystem schema/generated
    -DSPDLOG_FMT_EXTERNAL)
# Sources used by the targets. None uses coroutines, which clang 14 cannot compile with the library of g++ 12.
sources=(src/cardamompost/core/*.cpp src/cardamompost/accounts/*.cpp src/cardamompost/config/*.cpp src/cardamompost/control/cp_control_*.cpp
    src/cardamompost/consensus/cp_membership.cpp src/cardamompost/program/*.cpp src/cardamompost/policy/cp_policy_registry.cpp
    src/plugins/*.cpp src/cardamompost/net/cp_frame.cpp src/cardamompost/net/cp_frame_encoder.cpp
    src/cardamompost/net/cp_frame_decoder.cpp src/cardamompost/net/cp_schema_codec.cpp src/cardamompost/net/cp_ledger_schema.cpp
    src/cardamompost/routing/*.cpp platform/cp_platform_*.cpp src/cardamompost/net/cp_http_message.cpp src/cardamompost/net/cp_sse_parser.cpp schema/generated/cardamompost.capnp.c++)
for source in "${sources[@]}"; do
    echo "$source $out/$(echo "$source" | tr '/+' '__').o"
done >$out/list.txt
xargs -P "$(nproc)" -L 1 bash -c 'ccache clang++ '"$(printf '%q ' "${flags[@]}")"' -x c++ -c "$0" -o "$1"' <$out/list.txt
for target in ini_document call_request frame platform; do
    clang++ "${flags[@]}" fuzzing/fuzz_$target.cpp $(cut -d' ' -f2 $out/list.txt) -lcapnp -lkj -lfmt -lxxhash -lcrypto -lboost_json -o $out/fuzz_$target
    reset_corpus $target
    passed_over=0
    until $out/fuzz_$target -runs="$runs" -seed=$((1 + passed_over)) -max_len=4096 -print_final_stats=0 -verbosity=0 \
        -artifact_prefix=$out/ $out/corpus_$target >$out/$target.log 2>&1; do
        if ! is_known_fault $target $out/$target.log; then
            tail -n 30 $out/$target.log
            echo "fuzz target $target failed"
            exit 1
        fi
        passed_over=$((passed_over + 1))
        if [ $passed_over -eq $max_attempts ]; then
            echo "$target: not run to its end, each of $max_attempts runs ended in the known fault (KNOWN-RED.txt):"
            echo "out of memory in decodeCommandMessage(), $known_test"
            exit 1
        fi
        reset_corpus $target
    done
    case $passed_over in
    0) echo "$target: $runs inputs, no failure" && continue ;;
    1) times=once ;;
    *) times="$passed_over times" ;;
    esac
    echo "$target: known fault passed over $times (KNOWN-RED.txt)"
    echo "$target: $runs inputs, no other failure"
done
