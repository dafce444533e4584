#!/usr/bin/env bash
# A target is added whose id has the same tag as that of a live target.
# Needs the build of the deploy file and review/build-2.sh. Exit code 1: the rule
# was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disruption out. It takes about 31 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/drill ] && [ -x target/bin/poplarsail ] || exit 2
exec build/review-2/drill same-tag review/10/record.txt
