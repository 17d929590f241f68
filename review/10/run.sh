#!/usr/bin/env bash
# The store loses answers while callers hand in jobs and cancel them; what was cancelled must not start later.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../harness-3/run-case.sh" "$here" CaseCancelledWhileKept
