#!/usr/bin/env bash
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../run_case.sh" "$(dirname "$0")"
