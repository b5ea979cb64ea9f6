#!/bin/sh
# Put what a node needs on the platform under target/deps, without tests and stand-ins:
# libraries when their list changes, the sources at every build.
set -eu
stamp=target/deps/libraries.sha256
wanted=$(cat constraints.txt deploy/requirements.txt | sha256sum)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$wanted" ]; then
    rm -rf target/deps
    mkdir -p target
    python3 -m pip install --quiet --root-user-action=ignore --target target/deps \
        --constraint constraints.txt --requirement deploy/requirements.txt
    printf '%s\n' "$wanted" >"$stamp"
fi
rm -rf target/deps/toucanyard target/deps/toucanyard_node \
    target/deps/toucanyard_platform
cp -R packages/toucanyard/src/toucanyard packages/toucanyard-node/src/toucanyard_node \
    platform/src/toucanyard_platform target/deps/
# Nodes can't write beside the sources, so each start would compile them anew.
python3 -m compileall -q target/deps/toucanyard target/deps/toucanyard_node \
    target/deps/toucanyard_platform
