#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the trouble out.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
standins=$root/standins/target/lupinpaddle-standins-0.1.0-SNAPSHOT-all.jar
if [ ! -f "$standins" ] || [ ! -f "$root/review/target/QuotaCase.class" ]; then
  echo "run the build of the deploy file and review/build.sh first"
  exit 2
fi
exec java -Xmx128m -XX:+UseSerialGC -cp "$standins:$root/review/target" QuotaCase "$root" "$here"
