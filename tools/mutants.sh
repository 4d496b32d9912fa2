#!/usr/bin/env bash
# Takes out one guard at a time, in a copy of the tree, and rehearses the day that is there for it: the day must fail.
# Usage: tools/mutants.sh [NAME …]; prints one line a mutant, ends with 1 where one lives.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# name | file | what stands there | what the mutant has | day
mutants=(
  "ticket-used-twice|crates/core/src/ticket.rs|if self.used.contains(&id) {|if false {|effects"
  "ticket-code|crates/core/src/ticket.rs|.verify_truncated_left(&code)|.verify_truncated_left(\&Self::mac(begun, signed).finalize().into_bytes()[..CODE])|effects"
  "unsafe-again|src/logic.rs|Effect::Unsafe => None,|Effect::Unsafe => Some(None),|effects"
  "keyed-window|src/logic.rs|(self.now - first.sent < window).then_some|(self.now - first.sent < window + 1e6).then_some|effects"
  "drained|src/logic.rs|host.running = entry.lifecycle == Lifecycle::Running;|host.running = true;|drains"
  "cold-budget|src/logic.rs|if score < least \&\& self.cold_room(at, if i < near { near } else { count }) >= 1.0 {|if score < least {|cold"
  "ceiling-share|src/logic.rs|if plan.ceiling_rate > 0.0 { 0.0 } else {|if plan.ceiling_rate > 1e9 { 0.0 } else {|ceilings"
  "safe-share|src/logic.rs|if self.share_covers(\&key, plan, units) {|if true {|ceilings"
  "held-released|src/logic.rs|Some(Due::Hold(key)) => self.stop_holding(\&key, token),|Some(Due::Hold(_)) => {}|ceilings"
  "listener-closed|crates/gatekeeper/src/run.rs|_ = stopped.wait_for(.stop. .stop) => return None,|_ = std::future::pending::<()>() => return None,|answers"
  "attempt-limit|crates/core/src/engine.rs|Due::Limit(seq, attempt) => {|Due::Limit(seq, attempt) if seq == 0 => {|answers"
)

copy() {
  mkdir -p "$work/tree"
  (cd "$root" && git ls-files -z | grep -zv '^journal/' | xargs -0 cp --parents -t "$work/tree")
}

failed=0
for line in "${mutants[@]}"; do
  IFS='|' read -r name file from to day <<<"$line"
  if [ "$#" -gt 0 ] && [[ ! " $* " == *" $name "* ]]; then continue; fi
  rm -rf "$work/tree"
  copy
  python3 - "$work/tree/$file" "$from" "$to" <<'PY'
import sys
path, old, new = sys.argv[1], sys.argv[2].replace("\\&", "&"), sys.argv[3].replace("\\&", "&")
text = open(path).read()
flat = old.replace(".stop. .stop", "|stop| *stop")
if flat not in text:
    sys.exit(f"the guard is not there any more: {flat}")
text = text.replace(flat, new, 1)
if "if seq == 0" in new:
    text = text.replace("Due::Parked(seq) => {", "Due::Limit(..) => {}\n                Due::Parked(seq) => {", 1)
open(path, "w").write(text)
PY
  CARGO_TARGET_DIR="$root/target/mutants" cargo build --quiet --release --locked -p weirusher-cli \
    --manifest-path "$work/tree/Cargo.toml" 2>/dev/null || { echo "$name: does not build"; failed=1; continue; }
  if out="$(cd "$work/tree" && timeout 120 "$root/target/mutants/release/weirusher" rehearse "days/$day.toml" 2>/dev/null)"; then
    echo "$name: LIVES on $day"
    failed=1
  else
    echo "$name: found on $day: $(grep -m1 -oE '(NoRequestLost|NoEffectTwice|DrainsKept|NotPushedOver|CeilingsKept|QuotasKept|Counted).*' <<<"$out" | cut -c1-120)"
  fi
done
exit "$failed"
