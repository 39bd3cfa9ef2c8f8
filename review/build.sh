#!/bin/bash
# The stand-ins of review/stand need no build: they use Python 3.9 or later and its standard library alone.
# This checks that they can be loaded.
set -eu
cd "$(dirname "$0")/stand"
python3 - <<'P'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in ("guard", "http1", "store", "runner", "place"):
    compile(open(name + ".py").read(), name, "exec")
P
