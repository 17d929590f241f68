#!/usr/bin/env bash
# A lasting work item fails once on each of its eight workers; then it must be started again in time.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../harness-3/run-case.sh" "$here" CaseFailedEverywhere
