#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run goes into record.txt beside this file.
cd "$(dirname "$0")/../.."
[ -x target/review-3/harness ] && [ -x target/release/rosethread ] || exit 2
exec target/review-3/harness owners review/12
