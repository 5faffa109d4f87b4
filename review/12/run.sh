#!/bin/bash
# Plays the case; the exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/reviewstand ] && [ -x target/banyanrouted ] || exit 2
exec target/review-3/reviewstand behind review/12
