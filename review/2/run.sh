#!/bin/sh
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
python3 -c 'import tomllib' || exit 2
exec python3 -B "$(dirname "$0")/run.py"
