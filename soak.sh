#!/usr/bin/env bash
# Seeded runs of real controllers under faults: ./soak.sh --seeds 1-50 --parallel 4; --help lists the options.
set -eu
cd "$(dirname "$0")"
mvn -q -DskipTests package
mvn -q dependency:build-classpath -Dmdep.outputFile=target/soak-classpath.txt -Dmdep.includeScope=test
exec java -cp "target/test-classes:target/classes:$(cat target/soak-classpath.txt)" org.weldcourse.soak.SoakCommand "$@"
