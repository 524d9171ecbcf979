#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run. TROUBLE=0: without hanging backends.
exec python3 "$(dirname "$0")/case.py"
