#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. KEEP_LOGS=1 keeps the logs of the programs in a temporary folder.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
exec ../../target/review-2/stand-in restart-agent "$(cd ../.. && pwd)" "$PWD"
