#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
rm -f build-review/case-* build-review/*.o
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for source in http deployment; do
  g++ "${flags[@]}" -c "review/stand_in/$source.cpp" -o "build-review/$source.o" &
done
wait
for folder in review/[0-9]; do
  if [ -f "$folder/case.cpp" ]; then
    g++ "${flags[@]}" "$folder/case.cpp" build-review/http.o build-review/deployment.o \
      -o "build-review/case-$(basename "$folder")" &
  fi
done
wait
for folder in review/[0-9]; do
  [ ! -f "$folder/case.cpp" ] || [ -x "build-review/case-$(basename "$folder")" ]
done
