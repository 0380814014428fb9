#!/bin/sh
# TROUBLE=0: no disruption. Needs the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/EndlessAnswer.class ] && [ -f target/snipeloom-0.1.0.jar ] || exit 2
exec timeout 115 java -cp target/review EndlessAnswer review/1/record.txt
