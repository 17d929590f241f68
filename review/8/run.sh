#!/usr/bin/env bash
# Workers crash three times, one of eight at a time; the job that ran there must not be shown as failed.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../harness-3/run-case.sh" "$here" CaseWorkerCrashesCounted
