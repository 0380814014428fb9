#!/bin/sh
# Case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout -k 5 115 java -Xmx128m -Djava.io.tmpdir="$directory" -cp target/review-2 \
  AcceptedConfigurationIgnored "$PWD" "$PWD/review/8/record.txt" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' HUP INT TERM
wait "$child"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
