#!/usr/bin/env bash
# Runs this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x target/src/daemon/bamboohoistd ] && [ -x "build-review/case-$number" ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
  TROUBLE=0 exec "build-review/case-$number" "review/$number"
fi
TROUBLE=1 exec "build-review/case-$number" "review/$number"
