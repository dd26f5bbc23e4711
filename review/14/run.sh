#!/bin/sh
# Cancels jobs whose submission got no answer while the store loses answers. Exits with 1 if a task of such a job starts later than
# cancel_ms after the acknowledgement, 0 if none does, 2 if the case could not run. TROUBLE=0: the store loses nothing.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pfnode ] && [ -x target/review-stand-3 ] || exit 2
exec target/review-stand-3 cancelled review/14
