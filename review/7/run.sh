#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside it. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out. KEEP_LOGS=1 keeps the
# logs of the programs in a temporary folder.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
repository=$(cd ../.. && pwd) || exit 2
for program in cornelcross-platform review-2/stand-in; do
  [ -x "$repository/target/$program" ] || { echo "target/$program is not built" >&2; exit 2; }
done
exec "$repository/target/review-2/stand-in" restart-agent "$repository" "$PWD/record.txt"
