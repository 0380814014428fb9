#!/bin/sh
# Builds the stand-ins of the cases. They need nothing but the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standins/*.java
