#!/bin/sh
# Runs the case once. Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
exec python3 -B "$(dirname "$0")/case.py"
