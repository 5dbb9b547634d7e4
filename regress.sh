#!/usr/bin/env bash
# Plays panels of the operators' benches, one after the other, and tells whether one did badly:
#   ./regress.sh PANEL [OPTION ...]     PANEL: ops, later, real, mass, brink, module, or all; options go to the bench
# The kit lies beside the repository, or where KIT says; SITE names another site file than akl-build's.
set -uo pipefail
cd "$(dirname "$0")"
kit=${KIT:-../given/kit}
site=${SITE:-$kit/sites/akl-build.toml}
usage() { sed -n '3s/^# *//p' "$0" >&2; }

play() {  # PANEL BENCH OPTION ...
  local panel=$1 bench=$kit/$2 log status
  shift 2
  [ -x "$bench" ] || { echo "regress: $panel: no bench at $bench" >&2; return 2; }
  log=$(mktemp)
  echo "== $panel"
  "$bench" score "$site" "$@" | tee "$log"
  status=${PIPESTATUS[0]}
  # A day that breaks a rule says so at the end of its line; a crash and a missed start are told there too.
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
    ops) play ops more/ops/bin/lbreal "$@" ;;
    later) play later more/ops/bin/lbreal --panel later "$@" ;;
    real) play real real/bin/lbreal "$@" ;;
    brink) play brink more/mass/bin/lbreal --panel brink "$@" ;;
    mass) play mass more/mass/bin/lbreal "$@" ;;
    module) play module bin/lbsim "$@" ;;
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
