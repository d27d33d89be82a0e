#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh. With TROUBLE=0, the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cicadastall-platform ] && [ -x target/review-2/driver ] || exit 2
exec target/review-2/driver crash-after-begin review/8/record.txt
