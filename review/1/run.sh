#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the bad clients out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/weirusher ] || { echo "target/release/weirusher is missing: run the build of deploy/balancer.toml" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 python3 play.py
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
