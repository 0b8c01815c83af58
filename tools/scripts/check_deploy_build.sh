#!/usr/bin/env bash
# Checks that the build of deploy/system.toml needs only the packages that the file lists.
#
# Deployment machines have only these packages. Each library that CMake looks for must be mapped to a package below, and
# that package must be listed in deploy/system.toml. Libraries used only by tests are hidden from CMake.
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

# Maps each library that CMake may look for to its package.
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
