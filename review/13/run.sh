#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out. It needs the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lab-3 ] && [ -x target/rosemary-entry ] && [ -x target/rosemary-control ] || exit 2
exec target/lab-3 back "review/13/record.txt"
