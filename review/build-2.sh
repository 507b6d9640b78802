#!/bin/bash
# The stand-ins of the cases 4 to 8 are Python programs of the standard library (3.11 or later): there is
# nothing to compile. This checks the interpreter and the syntax.
cd "$(dirname "$0")" || exit 1
exec python3 -B - common-2/standins.py [4-8]/case.py <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
