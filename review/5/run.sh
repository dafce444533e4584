#!/usr/bin/env bash
# A zone is taken back: its cold targets are flooded.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build with the deploy file's build line
# and review/build.sh first.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] || exit 2
exec target/review/rig cold-return target/bin/poplarsail review/5/record.txt \
  "${TROUBLE:-1}"
