#!/usr/bin/env bash
# Builds every stand-in that the cases 6 to 10 start, into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/stand_in_2/*_main.cpp; do
  name=$(basename "$source" _main.cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-2/$name"
done
