#!/usr/bin/env bash
# Runs real controllers under randomly injected faults, one run per seed: ./soak.sh --seeds 1-50 --parallel 4
# The option --help lists all options.
set -eu
cd "$(dirname "$0")"
mvn -q -DskipTests package
mvn -q dependency:build-classpath -Dmdep.outputFile=target/soak-classpath.txt -Dmdep.includeScope=test
exec java -cp "target/test-classes:target/classes:$(cat target/soak-classpath.txt)" org.weldcourse.soak.SoakCommand "$@"
