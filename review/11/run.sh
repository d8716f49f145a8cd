#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt beside this file.
set -u
cd "$(dirname "$0")" || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 5 115 python3 case.py
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
