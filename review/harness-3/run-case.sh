#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Writes FOLDER/record.txt; exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
jar="$root/platform/target/lupinpaddle-platform-0.1.0-SNAPSHOT-all.jar"
if [ ! -f "$jar" ] || [ ! -d "$root/review/harness-3/target" ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
cd "$root" || exit 2
exec java -Xmx256m -XX:+UseSerialGC -cp "$root/review/harness-3/target:$jar" \
  -Drig.root="$root" -Drig.record="$1/record.txt" "$2"
