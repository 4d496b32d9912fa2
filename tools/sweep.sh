#!/usr/bin/env bash
# Runs days of the platform's bench (`lbreal`) on many seeds and prints a line for each: day, site, seed, gate, served, score, rule.
# Usage: tools/sweep.sh [-j JOBS] [-n NODES] [-l LOGS] SITE SEEDS DAY …     e.g. tools/sweep.sh SITE 1-5 herd+mass zone+brink+mass
#        tools/sweep.sh [-j JOBS] [-l LOGS] -p PANEL -w WHY SITE SEEDS       whole panels; tools/gate.py prints their days
# A run that violates a rule or does not end keeps its logs under LOGS; exits with 1 where there was one.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=3 nodes="" panel="" why="" logs="$(mktemp -d)"
while getopts j:n:l:p:w: option; do
  case $option in
    j) jobs=$OPTARG ;;
    n) nodes=$OPTARG ;;
    l) logs=$OPTARG ;;
    p) panel=$OPTARG ;;
    w) why=$OPTARG ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
if [ -n "$panel" ]; then [ $# -eq 2 ] && [ -n "$why" ]; else [ $# -ge 3 ]; fi || { sed -n '3,4p' "$0" >&2; exit 2; }
site=$1 seeds=$2
shift 2
export site nodes panel why logs bench=../given/kit/more/mass/bin/lbreal

run_day() {
  local day=$1 seed=$2 name out line rule
  name=$(basename "$site" .toml)-$day-$seed
  out=$logs/$name.out
  # The platform says that a day ends within 25 minutes: a longer one counts as failed.
  timeout 1600 "$bench" "$site" --rough "$day" --seed "$seed" ${nodes:+--nodes "$nodes"} --logs "$logs/$name" >"$out" 2>&1 || true
  line=$(grep -E ' score [0-9.]+' "$out" | tail -1 || true)
  rule=$(grep -h 'RULE BROKEN' "$out" | sed -E 's/.*zero\): //' | cut -c1-120 || true)
  served=$(sed -nE 's/.*served ([0-9.]+).*/\1/p' <<<"$line")
  gate=$(sed -nE 's/.*\(gate ([0-9.]+)\).*/\1/p' <<<"$line")
  score=$(sed -nE 's/.* score ([0-9.]+).*/\1/p' <<<"$line")
  echo "$day $(basename "$site" .toml) $seed gate ${gate:-none} served ${served:-none} score ${score:-none} ${rule:-${line:+kept}}"
  if [ -n "$line" ] && [ -z "$rule" ] && ! grep -q 'BROKEN\|CRASH' <<<"$line"; then rm -rf "${logs:?}/$name" "$out"; fi
}
export -f run_day

score_panel() {
  local report
  report=$logs/$(basename "$site" .toml)-$panel-$1.json
  "$bench" score "$site" --panel "$panel" --seed "$1" --no-build --why "$why" --json "$report" >"${report%.json}.out" 2>&1 || true
  { tools/gate.py "$report" || tail -3 "${report%.json}.out"; } >"${report%.json}.txt" 2>&1
}
export -f score_panel

if [ -n "$panel" ]; then
  count=$((${seeds#*-} - ${seeds%-*} + 1))
  seq "${seeds%-*}" "${seeds#*-}" | xargs -P "$jobs" -L 1 bash -c 'score_panel "$@"' score_panel
  cat "$logs"/*-"$panel"-*.txt
  passed=$(cat "$logs"/*-"$panel"-*.txt | grep -c 'gate passed' || true)
  echo "$passed of $count gates passed; reports: $logs"
  [ "$passed" -eq "$count" ]
  exit
fi

for day in "$@"; do
  for seed in $(seq "${seeds%-*}" "${seeds#*-}"); do echo "$day $seed"; done
done | xargs -P "$jobs" -L 1 bash -c 'run_day "$@"' run_day
failures=$(find "$logs" -maxdepth 1 -name '*.out' | wc -l)
[ "$failures" -eq 0 ] || { echo "$failures of the runs failed; their logs: $logs"; exit 1; }
