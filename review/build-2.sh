#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the programs of the deploy file. Their stand-ins are Python modules (review/harness, tests/soak), so
# that nothing has to be compiled; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/harness"
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"; import deployment'
