#!/bin/sh
# Writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root/review/8" || exit 2
program="$root/target/review-2/server_limit"
[ -x "$program" ] || { echo "build with review/build-2.sh first"; exit 2; }
REVIEW_ROOT="$root" exec "$program"
