#!/bin/sh
# Builds the stand-ins of the scripts in this folder. They are Python programs
# that use only the standard library, so they are only checked for syntax.
set -e
cd "$(dirname "$0")"
for file in [1-5]/*.py; do
  python3 -B -c '
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
' "$file"
done
