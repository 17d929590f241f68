#!/usr/bin/env bash
# A start that was not answered is carried out by the next life of its worker while the work item runs elsewhere.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../harness-3/run-case.sh" "$here" CaseLateStartAfterRestart
