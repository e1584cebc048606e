#!/bin/sh
# Plays this case once; see claim.txt. TROUBLE=0 leaves the disruption out. The exit status is 1 if
# the rule was broken, 0 if it held, and 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review/case-$(basename "$folder")"
if [ ! -x "$program" ]; then
  echo "not built: run review/build.sh" >&2
  exit 2
fi
exec "$program" "$root" "$folder/record.txt"
