#!/usr/bin/env bash
# The stand-ins are Python programs, so there is nothing to compile: checks that
# Python can read them and that the deploy file's build has left its programs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/standins/*.py review/[0-9]/*.py <<'PY'
import ast
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
PY
for program in gateway sidecar; do
  [ -x "target/platform/comfreyspring_$program" ] ||
    { echo "target/platform/comfreyspring_$program is missing"; exit 1; }
done
echo "review: ready"
