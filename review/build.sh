#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are written in Python and need no build; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
