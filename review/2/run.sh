#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
. "$(dirname "$0")/../lib/run-case.sh"
run_case review.PipelinedReads
