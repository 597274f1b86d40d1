#!/usr/bin/env bash
# Builds build/bulrushbend, a shiv archive of the program and its dependencies.
# Downloads nothing: the packages come from the virtual environment.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-.venv/bin}
folder=${BUILD_FOLDER:-build}
# The folder into which the archive unpacks depends on its content; fixed timestamps
# keep it the same for the same sources.
export SOURCE_DATE_EPOCH=${SOURCE_DATE_EPOCH:-315532800}

rm -rf "$folder/site" "$folder/bulrushbend"
mkdir -p "$folder/site"
"$bin/python" tools/stage.py "$folder/site"
# No --compile-pyc, because shiv would then compile in child processes while unpacking.
"$bin/shiv" --site-packages "$folder/site" --entry-point bulrushbend.cli.main:main \
  --python "/usr/bin/env python3" --reproducible --compressed \
  --output-file "$folder/bulrushbend"
rm -rf "$folder/site"
echo "built $folder/bulrushbend, $(wc -c < "$folder/bulrushbend") bytes"
