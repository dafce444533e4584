#!/usr/bin/env bash
# Daemons freeze for 0.45 s and are stopped and started in turn.
# Needs the build of the deploy file and review/build-2.sh. Exit code 1: the rule
# was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disruption out. It takes about 60 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/drill ] && [ -x target/bin/poplarsail ] || exit 2
exec build/review-2/drill freeze-and-roll review/7/record.txt
