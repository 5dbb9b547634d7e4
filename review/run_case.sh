#!/usr/bin/env bash
# Runs one case: run_case.sh CASE_FOLDER. Exit status 1: the rule was broken, 0: it held, 2: it could not run.
set -uo pipefail
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=review/.build/case-$(basename "$folder")
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -x "$program" ] && [ -n "$run" ] || { echo "not built: run review/build.sh" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$program" "$folder" "$temporary" "$run"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
