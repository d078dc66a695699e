#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python files of tests/soak and review/lib3, which need no build. This checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"; sys.path.insert(0, "review/lib3"); import rig'
