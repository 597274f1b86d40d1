#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python files without dependencies, so they
# are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
