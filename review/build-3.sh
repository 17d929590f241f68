#!/usr/bin/env bash
# Builds the stand-ins of review/7 to review/11, after the build of deploy/system.toml: the JSON library is taken from the
# entry's jar, nothing else is needed.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
jar="$root/platform/target/lupinpaddle-platform-0.1.0-SNAPSHOT-all.jar"
[ -f "$jar" ] || { echo "build-3: run the build of deploy/system.toml first" >&2; exit 1; }
out="$root/review/harness-3/target"
rm -rf "$out"
mkdir -p "$out"
javac -nowarn -d "$out" -cp "$jar" "$root"/review/harness-3/src/*.java
