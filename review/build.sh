#!/bin/sh
# The stand-ins are Python scripts without dependencies: check that they compile.
cd "$(dirname "$0")" && exec python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path().glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
