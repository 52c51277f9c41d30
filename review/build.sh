#!/usr/bin/env bash
# Checks that every stand-in and scenario compiles; they need only the standard library of Python
# 3.11. The programs themselves are built by the line `build` of deploy/system.toml, into target/.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sorted([*pathlib.Path("standins").glob("*.py"), *pathlib.Path(".").glob("[1-5]/*.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
EOF
test -d ../target/deps || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 1; }
