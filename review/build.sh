#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python (3.11) with its standard library alone, so
# this only checks that the interpreter is there and compiles them.
set -eu
cd "$(dirname "$0")"
for file in standin/*.py */case.py withdrawn/*/case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
