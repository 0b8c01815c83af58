#!/usr/bin/env bash
# Runs clang-tidy on the library, the plug-ins and the programs. Usage: tools/scripts/tidy.sh BUILD_FOLDER [FILE...]
# Skips sources with coroutines, which clang 14 cannot compile with the library of g++ 12.
set -euo pipefail
build=$1
shift
mkdir -p "$build/tidy"
# Removes options specific to g++ from the compile commands.
sed -e 's/ -Winvalid-pch -include [^ ]*cmake_pch.hxx//; s/ -Wno-restrict//; s/ccache //' "$build/compile_commands.json" >"$build/tidy/compile_commands.json"
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files 'src/*.cpp')
fi
checked=()
for file in "${files[@]}"; do
    if ! g++ -std=c++20 -MM -Iinclude -isystem schema/generated "$file" 2>/dev/null | tr ' \\' '\n\n' | grep -E '^(src|include)/' | xargs grep -lE 'awaitable|co_await' >/dev/null 2>&1; then
        checked+=("$file")
    fi
done
echo "clang-tidy: ${#checked[@]} of ${#files[@]} sources"
status=0
printf '%s\n' "${checked[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build/tidy" --quiet >"$build/tidy/report.txt" 2>&1 || status=1
grep -vE 'warnings?( and [0-9]+ errors?)? generated|Suppressed|Use -header-filter' "$build/tidy/report.txt" || true
exit $status
