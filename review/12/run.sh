#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}" timeout -k 5 110 target/review-3/standin-3 switch review/12/record.txt
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
