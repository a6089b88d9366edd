#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/case-6 ] || exit 2
TROUBLE="${TROUBLE:-1}" CASE_DIR="$PWD" exec ../../target/review-2/case-6
