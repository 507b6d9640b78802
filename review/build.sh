#!/usr/bin/env bash
# The stand-ins are Python scripts, which need no build; the program under test is the deploy file's.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DPLANKLEDGE_PROGRAMS=sidecar
cmake --build target --target plankledge-sidecar
