#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it plays the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/harness-3 ] && [ -x target/mimosaspring ] || exit 2
exec target/harness-3 config review/13/record.txt "${TROUBLE:-1}"
