#!/usr/bin/env bash
# Builds the stand-ins of review/stand-in-3. They are Python programs without dependencies, so this checks that the
# interpreter can load them; the programs under test come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import sys
if sys.version_info < (3, 11):
    sys.exit("error: Python 3.11 or later is needed")
import ast, glob
for path in sorted(glob.glob("stand-in-3/*.py") + glob.glob("1[1-5]/*.py")):
    ast.parse(open(path).read(), path)
sys.path.insert(0, "stand-in-3")
import platform_stand_in
PY
test -x ../target/cornelcross-platform || { echo "error: target/cornelcross-platform is missing" >&2; exit 1; }
