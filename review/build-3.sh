#!/usr/bin/env bash
# Builds the programs of the third review, with their stand-ins, into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
builds=()
for source in review/stand_in_3/*.cpp; do
  name=$(basename "$source" .cpp)
  case $name in support | deployment) continue ;; esac
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand_in_3 "$source" \
    review/stand_in_3/support.cpp review/stand_in_3/deployment.cpp -o "build/review-3/$name" &
  builds+=($!)
done
for build in "${builds[@]}"; do
  wait "$build"
done
