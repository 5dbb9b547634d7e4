#!/usr/bin/env bash
# Runs this case; see claim.txt. TROUBLE=0 runs it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../common-2/run_case.sh" "$folder"
