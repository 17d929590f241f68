#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the line build of deploy/system.toml, then review/build-4.sh.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec review/harness-4/run-case ScheduledJobs review/12
