#!/bin/sh
# Builds the project's daemon and checks the stand-ins, which are Python programs that use only the
# standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --bin crocustillerd
python3 - <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
print("stand-ins are sound")
CHECK
