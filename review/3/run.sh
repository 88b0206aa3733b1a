#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -d target/review ] && [ -f target/weldcourse.jar ] || exit 2
timeout -k 5 118 java -Xmx256m -cp target/review review.Case3 "$here"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
