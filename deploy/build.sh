#!/bin/sh
# Puts the locked libraries and the package into target/deps, compiled, so that
# a process starts without writing or compiling anything.
set -eu
deps=target/deps
if [ ! -e "$deps/.ready" ] || [ deploy/requirements.txt -nt "$deps/.ready" ]; then
    python3 -m pip install -q --disable-pip-version-check --upgrade \
        --target "$deps" --requirement deploy/requirements.txt
    touch "$deps/.ready"
fi
rm -rf "$deps/sardineferry"
cp -R src/sardineferry "$deps/sardineferry"
python3 -m compileall -q "$deps"
