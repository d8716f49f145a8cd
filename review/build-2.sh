#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -Wpedantic -o target/review-2/stand-in review/stand-in-2/*.cpp
