#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 from review/standins-2. Needs a JDK and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec javac --release 17 -Xlint:all -Werror -d target/review-2 review/standins-2/*.java
