#!/bin/bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case ] || { echo "run review/build.sh first"; exit 2; }
set -m
target/review/case left-worker review/4/record.txt &
case=$!
# The processes of the case are in its process group; they end with it also if this script is stopped.
trap 'kill -KILL -- "-$case" 2> /dev/null; exit 2' INT TERM HUP
wait "$case"
