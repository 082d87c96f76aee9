#!/bin/sh
# Builds the stand-ins of the scripts. They are Python without packages, so this checks
# that they compile; nothing is written into the tree.
cd "$(dirname "$0")/.." || exit 2
exec python3 - review/stand_ins.py review/*/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
    print("compiles:", name)
PYTHON
