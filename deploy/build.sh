#!/usr/bin/env bash
# Build step of the platform: assembles packages and sources in target/deps. Packages are
# reinstalled when the lock file changes; sources are copied when one of them changes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
exec 9> target/lock
flock 9
wanted=$(cat requirements.lock deploy/requirements.txt | sha256sum)
if [ ! -f target/installed ] || [ "$(cat target/installed)" != "$wanted" ]; then
  rm -rf target/packages target/installed target/copied
  python3 -m pip install --quiet --target target/packages \
    -r deploy/requirements.txt -c requirements.lock
  echo "$wanted" > target/installed
fi
sources=$(find libs/*/src platform/src -name '*.py' -print0 | sort -z |
  xargs -0 sha256sum | cat - target/installed deploy/build.sh | sha256sum)
if [ -f target/copied ] && [ "$(cat target/copied)" = "$sources" ]; then
  exit 0
fi
rm -rf target/deps.new target/copied
cp -al target/packages target/deps.new
mkdir -p target/deps.new/bulrushbend
for folder in libs/*/src platform/src; do
  cp -r "$folder/bulrushbend/." target/deps.new/bulrushbend/
done
find target/deps.new/bulrushbend -name __pycache__ -prune -exec rm -rf {} +
# The folder is read-only on the machines, so bytecode is compiled here.
python3 -m compileall -q target/deps.new
rm -rf target/deps
mv target/deps.new target/deps
echo "$sources" > target/copied
