#!/bin/sh
# The stand-ins of review/4 to review/6 are Python programs of the standard library; nothing of them is compiled. This checks that they
# can be read and that the gateway has been built by the line `build` of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
for file in review/4/*.py review/5/*.py review/6/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
test -x target/cardamompost-gateway
