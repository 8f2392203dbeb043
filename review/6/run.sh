#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
# The program writes what was sent, answered and run to record.txt in CASE_DIR.
cd "$(dirname "$0")/../.." || exit 2
export CASE_DIR=review/6
exec target/review-2/stand-ins crowd
