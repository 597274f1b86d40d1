#!/usr/bin/env bash
# Builds build/bulrushbend, one shiv archive with the program and its packages.
# Fetches nothing: the packages come from the virtual environment.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-.venv/bin}
folder=${BUILD_FOLDER:-build}
# The archive's content decides its unpacking folder; fixed times keep that the same
# for the same content.
export SOURCE_DATE_EPOCH=${SOURCE_DATE_EPOCH:-315532800}

rm -rf "$folder/site" "$folder/bulrushbend"
mkdir -p "$folder/site"
"$bin/python" tools/stage.py "$folder/site"
# Without --compile-pyc, since shiv then compiles in child processes at unpacking.
"$bin/shiv" --site-packages "$folder/site" --entry-point bulrushbend.cli.main:main \
  --python "/usr/bin/env python3" --reproducible --compressed \
  --output-file "$folder/bulrushbend"
rm -rf "$folder/site"
echo "built $folder/bulrushbend, $(wc -c < "$folder/bulrushbend") bytes"
