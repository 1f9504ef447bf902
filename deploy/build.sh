#!/bin/sh
# Installs the pinned libraries once and the package anew when its sources
# have changed, both into target/deps, which the platform puts on the path.
set -eu
deps=target/deps
mkdir -p "$deps"
if [ ! -f "$deps/.libraries" ] ||
    [ -n "$(find constraints.txt deploy -newer "$deps/.libraries")" ]; then
    python3 -m pip install -q -U --target "$deps" \
        -c constraints.txt -r deploy/requirements.txt
    touch "$deps/.libraries"
fi
rm -rf "$deps/verbenahall"
cp -R packages/verbenahall/src/verbenahall "$deps/verbenahall"
python3 -m compileall -q "$deps/verbenahall"
