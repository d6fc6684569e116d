#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# the case runs without its disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
daemon=target/packages/daemon/acaciadeald
standins=target/review/reviewcase
if [ ! -x "$daemon" ] || [ ! -x "$standins" ]; then
  echo "not run: build the deploy file and run review/build.sh first"
  exit 2
fi
"$standins" late-write "$daemon" review/5/record.txt "${TROUBLE:-1}"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
