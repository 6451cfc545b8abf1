#!/usr/bin/env bash
# Injects each fault in turn and checks that the model checker reports a violation of the expected property, with
# a trace and exit status 1.
set -u
tool=$1 failed=0 count=0
while read -r name property; do
  count=$((count + 1))
  case $name in
    short-answer | look-after-end) sizes=phases ;;  # these affect only queries in phases
    *) sizes="tiny small" ;;
  esac
  # The limit on states bounds the time of a size in which the fault is not found.
  for size in $sizes; do
    out=$("$tool" check --size "$size" --plant "$name" --states 110000 --quiet)
    status=$?
    [ $status -eq 1 ] && break
  done
  if [ $status -ne 1 ] || ! grep -q "^broken: $property: " <<<"$out" || ! grep -q '^1\. ' <<<"$out"; then
    echo "$name: status $status, expected 1 and 'broken: $property'; got:"
    echo "$out"
    failed=1
  fi
done < <("$tool" check --plant list | sed -E 's/^([a-z-]+) .*\(caught by ([a-z-]+)\)$/\1 \2/')
# 8 is a lower bound: a shorter list was not printed or parsed completely.
[ $count -ge 8 ] || { echo "only $count faults listed, expected at least 8"; failed=1; }
exit $failed
