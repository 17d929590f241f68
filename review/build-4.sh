#!/usr/bin/env bash
# Builds what the scripts of the cases 12 and later start, after the build of the deploy file: the project's stand-ins, if
# they are missing, and the harness. Needs no network beyond what that build needs.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
standins=standins/target/lupinpaddle-standins-0.1.0-SNAPSHOT-all.jar
if [ ! -f "$standins" ]; then
  mvn -o -q -B -DskipTests -Dspotless.check.skip=true -pl standins -am package ||
    mvn -q -B -DskipTests -Dspotless.check.skip=true -pl standins -am package
fi
rm -rf review/harness-4/target
mkdir -p review/harness-4/target/classes
javac -d review/harness-4/target/classes -cp platform/target/lupinpaddle-platform-0.1.0-SNAPSHOT-all.jar review/harness-4/*.java
