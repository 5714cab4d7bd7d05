#!/bin/sh
# The stand-ins are Python files that need only the standard library; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib

for file in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(file.read_text(encoding="utf-8"), str(file))
    print("ok", file)
END
