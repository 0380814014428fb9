#!/usr/bin/env bash
# Prints the tables of docs/measurements/routing.md. Arguments: scale (1), seeds (1 2 3).
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -ntp test-compile dependency:build-classpath -DincludeScope=test \
  -Dmdep.outputFile=target/test.classpath
exec java -Xmx1g -cp "target/test-classes:target/classes:$(cat target/test.classpath)" \
  io.snipeloom.coordination.RoutingTrial "$@"
