#!/usr/bin/env bash
# Runs one case: run_case.sh FOLDER. The node is started with the run command of the deploy file.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
CASE_FOLDER=$(cd "$1" && pwd) || exit 2
PROJECT_ROOT=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
program=$PROJECT_ROOT/build-review-2/case$(basename "$CASE_FOLDER")
NODE_COMMAND=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$PROJECT_ROOT/deploy/balancer.toml")
if [ ! -x "$program" ] || [ -z "$NODE_COMMAND" ]; then
  echo "could not run: build the project, then run review/build-2.sh" | tee "$CASE_FOLDER/record.txt"
  exit 2
fi
CASE_SCRATCH=$(mktemp -d) || exit 2
export CASE_FOLDER PROJECT_ROOT NODE_COMMAND CASE_SCRATCH
pid=
finish() {
  if [ -n "$pid" ]; then kill -KILL "$pid" 2>/dev/null; fi  # the node ends with the program that started it
  if [ -s "$CASE_SCRATCH/node.log" ]; then
    { echo "--- log of the node"; tail -n 40 "$CASE_SCRATCH/node.log"; } >>"$CASE_FOLDER/record.txt"
  fi
  rm -rf "$CASE_SCRATCH"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$program" &
pid=$!
wait "$pid"
status=$?
pid=
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
