#!/bin/sh
# Builds the stand-ins of cases 4 to 8. They are Python files of this folder, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in standins_2.py 4/case.py 5/case.py 6/case.py 7/case.py 8/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
