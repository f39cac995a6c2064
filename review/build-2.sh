#!/bin/sh
# Builds what the scripts of the second review start, besides the software
# itself. The stand-ins are Python without packages: they are only checked.
set -e
cd "$(dirname "$0")"
python3 - standins_2.py */case.py <<'END'
import ast
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
    print("checked", path)
END
