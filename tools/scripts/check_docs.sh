#!/usr/bin/env bash
# Checks that the documentation matches the code: configuration keys, error kinds, log events, metrics, result tables.
# Usage: check_docs.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
status=0
while read -r section key; do
    grep -q "^| $section | $key |" docs/configuration.md || {
        echo "docs/configuration.md lacks $section.$key"
        status=1
    }
done < <($build/cardamompost config keys)
known=$($build/cardamompost config keys)
while read -r section key; do
    grep -qx "$section $key" <<<"$known" || {
        echo "docs/configuration.md names $section.$key, which the code does not know"
        status=1
    }
done < <(sed -n 's/^| \(class\|deployment\|replica\|service\|caller\|operator\|vm\|system\|keeper\) | \([a-z0-9_]*\) |.*/\1 \2/p' docs/configuration.md)
kinds=$(sed -n 's/.*ErrorAnswer *{ErrorKind::[A-Za-z]*, "\([a-z-]*\)", \([0-9]*\),.*/\1 \2/p' src/cardamompost/core/cp_error_kind.cpp)
[ "$(echo "$kinds" | wc -l)" -ge 20 ] && [ "$(echo "$known" | wc -l)" -ge 30 ] || {
    echo "the code's lists could not be read"
    status=1
}
while read -r name code; do
    grep -q "^| $name | $code |" docs/http.md || {
        echo "docs/http.md lacks the error $name ($code)"
        status=1
    }
done <<<"$kinds"
python3 tools/scripts/capacity_page.py docs/results/capacity.tsv docs/CAPACITY.md --check || status=1
# The gateway's log events must match docs/LOGS.md.
events=$(grep -hoE '"[a-z]+\.[a-z_]+"' src/gateway/*.cpp src/daemon/cp_disk_thread.cpp src/cardamompost/observe/cp_log_pipe.cpp | tr -d '"' | sort -u)
events=$(printf '%s\nlog.dropped' "$events" | grep -vE '^(std|fmt)\.' | sort -u)
pages=$(grep -oE '`[a-z]+\.[a-z_]+`' docs/LOGS.md | tr -d '`' | sort -u)
[ "$(echo "$events" | wc -l)" -ge 25 ] || { echo "the gateway's events could not be read"; status=1; }
diff <(echo "$events") <(echo "$pages") >build/log_events.diff || {
    echo "docs/LOGS.md and the gateway's code name different events:"
    cat build/log_events.diff
    status=1
}
# Names specific to the platform may appear only in platform/, deploy/ and their tests.
names='Request-Id|Previous-Turn|Token-Budget|Token-Usage|Deadline-Milliseconds|Expected-Instance|Not-Executed|Server-Signature|Server-Load|Kv-From|Program-Time-Left|/cardamompost/(readiness|resolution|configuration|retire)|retains-context|path-prefix|instances\?'
git grep -nE "$names" -- include src examples benchmarks tools ':!tools/scripts/check_docs.sh' && {
    echo "a name of the users' platform stands outside of platform/"
    status=1
}
# The gateway's metrics must match docs/LOGS.md.
metrics=$(grep -hoE '"cardamompost_[a-z_]+"' src/gateway/*.cpp src/daemon/cp_disk_thread.cpp | tr -d '"' | sort -u)
[ "$(echo "$metrics" | wc -l)" -ge 20 ] || { echo "the gateway's metrics could not be read"; status=1; }
diff <(echo "$metrics") <(grep -oE 'cardamompost_[a-z_]+' docs/LOGS.md | sort -u) >build/metrics.diff || {
    echo "docs/LOGS.md and the gateway's code name different metrics:"
    cat build/metrics.diff
    status=1
}
[ $status = 0 ] && echo "pages agree with the code"
exit $status
