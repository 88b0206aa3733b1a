#!/usr/bin/env bash
# Builds the stand-ins and the checks of the review's cases into target/review. It needs a JDK and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 javac -nowarn -d target/review
