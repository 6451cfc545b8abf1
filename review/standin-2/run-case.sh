#!/bin/sh
# Runs one case: sh run-case.sh FOLDER. Starts the stand-ins, which start the mixer with the line `run` of the deploy
# file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program="build/review-2/case$(basename "$folder")"
run=$(sed -n 's/^run *= *"\(.*\)" *$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x "$program" ] || exit 2
temporary=$(mktemp -d) || exit 2
timeout -k 2 115 "$program" "$run" "$temporary" "$folder/record.txt"
status=$?
rm -rf "$temporary"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
