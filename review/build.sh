#!/usr/bin/env bash
# Builds all that the scripts of review/ start: the project's stand-ins, and the harness and worker of the cases. The
# entry's program is built by the line `build` of deploy/system.toml.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
standins=standins/target/lupinpaddle-standins-0.1.0-SNAPSHOT-all.jar
mvn -q -B -DskipTests -Dspotless.check.skip=true -pl standins -am package
mkdir -p review/target
javac -Xlint:all -cp "$standins" -d review/target review/harness/*.java
