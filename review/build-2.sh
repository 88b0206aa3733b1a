#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4 and later start. It needs only the JDK, and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/lib-2/rev/*.java
