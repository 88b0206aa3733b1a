#!/usr/bin/env bash
# Shows that the version named by `production` differs from the release that it patches by the mend alone: exits with 0 and
# prints the difference if only these files differ, else with 1. Needs the repository's history.
set -eu
cd "$(dirname "$0")/.."
RELEASE=c526fa5327937b09407cadf6fe59ccf8f8c2c5e8
PRODUCTION=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
EXPECTED="src/main/java/org/weldcourse/admission/Drill.java
src/main/java/org/weldcourse/admission/Term.java
src/main/java/org/weldcourse/workers/Reconciler.java"
CHANGED=$(git diff --name-only "$RELEASE" "$PRODUCTION")
if [ "$CHANGED" != "$EXPECTED" ]; then
    printf 'unexpected difference between %s and %s:\n%s\n' "$RELEASE" "$PRODUCTION" "$CHANGED" >&2
    exit 1
fi
git merge-base --is-ancestor "$PRODUCTION" HEAD
git diff "$RELEASE" "$PRODUCTION"
