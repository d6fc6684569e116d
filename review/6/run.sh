#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] && [ -x target/packages/daemon/acaciadeald ] || exit 2
exec target/review-2/review-2 restart-before-cut review/6
