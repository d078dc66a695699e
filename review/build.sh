#!/usr/bin/env bash
# The stand-ins of the scripts are Python, those of tests/soak and review/lib, and need no build. Checks that they can be loaded and that the program is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "lib"); import rig'
test -x ../target/build/src/knapweedstaged
