#!/usr/bin/env bash
# What the demos share: a work folder, processes that end with the script, and looking into their logs.
set -eu
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=$(mktemp -d)
pids=()
token=demo-token-not-for-use

fail() { tail -n 20 "$work"/entry-*.log >&2; echo "demo: $1" >&2; exit 1; }
cleanup() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

jar() { echo "$root/$1/target/lupinpaddle-$1-0.1.0-SNAPSHOT-all.jar"; }
for module in daemon ctl standins platform; do
  if [ ! -f "$(jar $module)" ]; then
    echo "== building, once"
    (cd "$root" && mvn -B -q package -DskipTests) || fail "the build failed"
    break
  fi
done

# Starts a program with its output in a file: spawn NAME COMMAND...
spawn() { local name=$1; shift; "$@" >"$work/$name.log" 2>&1 & pids+=($!); }

# Prints the value of KEY in the first line of NAME's log that has EVENT: field NAME EVENT KEY
field() {
  local i line
  for i in $(seq 1 300); do
    line=$(grep -m1 "event=$2" "$work/$1.log" 2>/dev/null || true)
    if [ -n "$line" ]; then echo "$line" | grep -o "$3=[^ ]*" | head -n 1 | cut -d= -f2; return; fi
    sleep 0.1
  done
  cat "$work/$1.log" >&2
  fail "$1 did not log event=$2"
}

# Runs in a background shell of its own; exec, so that the recorded id is that of the program.
stand_in() { exec java -XX:+UseSerialGC -Xmx48m -XX:TieredStopAtLevel=1 -jar "$(jar standins)" "$@"; }
