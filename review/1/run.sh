#!/usr/bin/env bash
# Plays the case on loopback addresses; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
[ -x target/levertided ] && [ -x target/review-standin ] || { echo "build first"; exit 2; }
timeout -k 5 110 target/review-standin readers "$root" "$folder"
status=$?
case $status in 0|1|2) exit $status ;; *) exit 2 ;; esac
