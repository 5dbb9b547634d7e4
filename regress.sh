#!/usr/bin/env bash
# Runs panels of the operators' benches one after the other and fails if a panel fails:
#   ./regress.sh PANEL [OPTION ...]     PANEL: ops, later, real, mass, brink, module, or all; options go to the bench
# KIT is the folder of the operators' kit (default: beside the repository), SITE the site file (default: akl-build's).
set -uo pipefail
cd "$(dirname "$0")"
kit=${KIT:-../given/kit}
site=${SITE:-$kit/sites/akl-build.toml}
usage() { sed -n '3s/^# *//p' "$0" >&2; }

run_bench() {  # PANEL BENCH OPTION ...
  local panel=$1 bench=$kit/$2 log status
  shift 2
  [ -x "$bench" ] || { echo "regress: $panel: no bench at $bench" >&2; return 2; }
  log=$(mktemp)
  echo "== $panel"
  "$bench" score "$site" "$@" | tee "$log"
  status=${PIPESTATUS[0]}
  # The line of a day ends with the rule that it broke, or with a crash or a missed start.
  if [ "$status" -ne 0 ] || grep -qE 'BROKEN|GATE failed|RULE BROKEN|crashed' "$log"; then
    echo "regress: $panel failed (status $status)" >&2
    status=1
  fi
  rm -f "$log"
  return "$status"
}

panel() {
  local name=$1
  shift
  case $name in
    ops) run_bench ops more/ops/bin/lbreal "$@" ;;
    later) run_bench later more/ops/bin/lbreal --panel later "$@" ;;
    real) run_bench real real/bin/lbreal "$@" ;;
    brink) run_bench brink more/mass/bin/lbreal --panel brink "$@" ;;
    mass) run_bench mass more/mass/bin/lbreal "$@" ;;
    module) run_bench module bin/lbsim "$@" ;;
    *) echo "regress: unknown panel '$name'" >&2; usage; return 2 ;;
  esac
}

[ $# -gt 0 ] || { usage; exit 2; }
[ -d "$kit" ] || { echo "regress: no kit at $kit" >&2; exit 2; }
[ -f "$site" ] || { echo "regress: no site at $site" >&2; exit 2; }
name=$1
shift
[ "$name" != all ] || { bad=0; for each in ops later real mass brink module; do panel "$each" "$@" || bad=1; done; exit "$bad"; }
panel "$name" "$@"
