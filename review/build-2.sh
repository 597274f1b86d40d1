#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They are Python files that
# use the standard library only, so this compiles them and checks the build of the
# programs under test.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/bulrushbend/platform
python3 -m compileall -q review/standins-2
for case in review/[0-9]*/case.py; do
  number=$(basename "$(dirname "$case")")
  if [ "$number" -ge 6 ]; then
    python3 -m py_compile "$case"
  fi
done
