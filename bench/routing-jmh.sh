#!/usr/bin/env bash
# Prints the time and the allocation of a pick and of an admission, with their spread.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -ntp test-compile dependency:build-classpath -DincludeScope=test \
  -Dmdep.outputFile=target/test.classpath
exec java -cp "target/test-classes:target/classes:$(cat target/test.classpath)" \
  org.openjdk.jmh.Main RoutingBenchmark -prof gc "$@"
