#!/usr/bin/env bash
# A new configuration gives a queue advice; a work item of a job accepted before has to be started again when it fails.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../harness-3/run-case.sh" "$here" CaseAdviceComesLater
