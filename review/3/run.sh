#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
"$root/review/build.sh" || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 2 110 "$root/review/bin/case3" "$root" "$here/record.txt"
status=$?
rm -rf "$TMPDIR"
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
