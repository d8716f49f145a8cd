#!/usr/bin/env bash
# Plays the day of one case on three seeds: review/run-days.sh N SITE FLEETBENCH [SEED...]
set -euo pipefail
cd "$(dirname "$0")/.."
case_number=$1 site=$2 bench=$3
shift 3
for seed in "${@:-1 2 3}"; do
  for one in $seed; do
    "$bench" run "$site" "review/$case_number/day.toml" --seed "$one" \
      --report "review/$case_number/report.json" > /dev/null
    cp "review/$case_number/report.json" "review/$case_number/report-seed$one.json"
    echo "case $case_number, seed $one: $(grep -A3 '"breaks"' "review/$case_number/report.json" | tr -d ' \n')"
  done
done
