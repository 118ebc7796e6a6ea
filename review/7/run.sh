#!/usr/bin/env bash
# Exits with 1 if QUOTA was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the cut.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/verbenadale ] && [ -x target/review/stand2 ] || exit 2
exec timeout -k 2 100 target/review/stand2 quota -record "$here/record.txt"
