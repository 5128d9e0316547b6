#!/bin/sh
# Case 6: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. record.txt beside this script gets what was sent, answered and run. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case-6
if [ ! -x target/release/daleturn-node ] || [ ! -x "$program" ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
pid=
trap '[ -z "$pid" ] || { kill "$pid"; wait "$pid"; } 2>/dev/null; rm -rf "$CASE_TMP"' EXIT
trap 'exit 2' INT TERM HUP
"$program" "$here/record.txt" &
pid=$!
wait "$pid"
status=$?
pid=
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
