#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the
# disruption out. Run the build of deploy/service.toml and review/build-2.sh before it.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/weldcourse.jar ] && [ -f target/review-2/rev/CaseOneError.class ] || exit 2
timeout -k 3 116 java -Xmx1g -cp target/review-2 rev.CaseOneError review/8
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
