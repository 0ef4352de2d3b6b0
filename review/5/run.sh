#!/bin/sh
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/bwentry ] && [ -x target/review/review_stand ] || exit 2
exec target/review/review_stand waiting-count review/5/record.txt
