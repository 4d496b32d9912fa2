#!/usr/bin/env bash
# The stand-ins are Python 3 with its standard library only (review/standins.py, review/worker.py and
# review/N/play.py): nothing is compiled.
# This checks that they can be read. Neither a network nor a dependency is needed.
cd "$(dirname "$0")" || exit 2
for file in standins.py worker.py [0-9]*/play.py; do
  python3 - "$file" <<'PY' || exit 2
import ast, sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])
PY
done
echo "stand-ins: ready"
