#!/bin/bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/case own-failure review/4/record.txt
