#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4, review/5 and review/6 start: the project's own, and the small ones in
# review/harness-2. Everything goes under target/. The deploy file's build has to run before.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
if [ ! -f standins/target/lupinpaddle-standins-0.1.0-SNAPSHOT-all.jar ]; then
  mvn -q -B -o -DskipTests -Dspotless.check.skip=true -pl standins -am package
fi
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:none -d target/review-2 review/harness-2/*.java
