#!/bin/sh
# Freezes the owner right after a start, and crashes the worker of that start meanwhile. Exits with 1 if two runs of a task work at the same
# time, 0 if not, 2 if the case could not run. TROUBLE=0: nothing is frozen and nothing crashes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pfnode ] && [ -x target/review-stand-3 ] || exit 2
exec target/review-stand-3 woken review/11
