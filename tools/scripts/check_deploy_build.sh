#!/usr/bin/env bash
# Configures the build of deploy/system.toml while everything that its list of packages does not bring is out of reach.
#
# The users' machines have only the packages on that list. A build that asks for one more is green on every machine
# where the tests were built before, and fails on theirs. So each library that CMake asks for has to be named below
# with its package, and that package has to be on the list; what only tests use is made unfindable.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=${1:-build/deploy-check}
listed=$(python3 - <<'PY'
import re
text = open("deploy/system.toml").read()
print("\n".join(re.findall(r'"([^"]+)"', re.search(r"packages = \[(.*?)\]", text, re.S).group(1))))
PY
)
configure=$(sed -n 's/^build = "\(cmake [^"]*\) && ninja.*"$/\1/p' deploy/system.toml)
[ -n "$configure" ] || { echo "the build of deploy/system.toml could not be read"; exit 1; }

# What CMake may ask for, and the package that brings it.
declare -A package_of=(
    [Boost]=libboost1.81-dev [boost_headers]=libboost1.81-dev [boost_program_options]=libboost-program-options1.81-dev
    [boost_json]=libboost-json1.81-dev [boost_container]=libboost-json1.81-dev [spdlog]=libspdlog-dev [fmt]=libfmt-dev
    [OpenSSL]=libssl-dev [Threads]=g++ [capnp]=libcapnp-dev [kj]=libcapnp-dev [xxhash]=libxxhash-dev [mold]=mold)

rm -rf "$folder"
# shellcheck disable=SC2086
eval "${configure/-B target/-B $folder} -DCMAKE_DISABLE_FIND_PACKAGE_boost_unit_test_framework=ON --trace-expand --trace-redirect=$folder.trace" \
    >"$folder.log" 2>&1 || { tail -n 20 "$folder.log"; echo "the build of deploy/system.toml asks for more than its packages bring"; exit 1; }
asked=$(grep -oE "$PWD/[^ ]*CMakeLists.txt\([0-9]+\): +(find_package|find_library|find_program)\([^)]*\)" "$folder.trace" |
    sed -E 's/.*(find_package|find_library|find_program)\(//; s/\)$//')
[ "$(echo "$asked" | wc -l)" -ge 5 ] || { echo "what the build asks for could not be read"; exit 1; }
status=0
need() {
    local package=${package_of[$1]:-}
    if [ -z "$package" ] || ! grep -qx "$package" <<<"$listed"; then
        echo "the build asks for $1, which no package of deploy/system.toml brings"
        status=1
    fi
}
while read -r name rest; do
    case $name in
    Boost)
        need Boost
        for component in ${rest#*COMPONENTS }; do
            need "boost_$component"
        done ;;
    *_LIBRARY | *_PROGRAM) need "${rest%% *}" ;;
    *) need "$name" ;;
    esac
done <<<"$asked"
[ $status = 0 ] && echo "the build for the users' machines asks for nothing beyond its packages"
exit $status
