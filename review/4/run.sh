#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/filberthold ] && [ -x target/review-standin ] || exit 2
exec target/review-standin cold review/4
