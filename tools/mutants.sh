#!/usr/bin/env bash
# Mutation tests: each mutant removes one safeguard in a copy of the tree. The scenario that covers the safeguard
# (days/NAME.toml), or the tests of a package (test:PACKAGE), must fail then.
# Usage: tools/mutants.sh [NAME …]       all mutants without a name
# Prints a line for each mutant; exits with 1 where one survives, does not build, or does not match exactly one place.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# name | file | code that occurs once in it | what replaces it | scenario or test:package; in code, `\|` is a bar and `\&`
# an ampersand, and `.stop. .stop` is `|stop| *stop`.
mutants=(
  "ticket-used-twice|crates/core/src/ticket_validator.rs|if self.used.contains(&id) {|if false {|effects"
  "ticket-code|crates/core/src/ticket.rs|.verify_truncated_left(&code)|.verify_truncated_left(\&key.over(signed).finalize().into_bytes()[..CODE_BYTES])|effects"
  "unsafe-again|src/policy/retry_scope.rs|Idempotency::NonIdempotent => None,|Idempotency::NonIdempotent => Some(RetryScope::ANYWHERE),|effects"
  "keyed-window|src/policy/retry_scope.rs|first.sent + window - self.now;|first.sent + window + 1e6 - self.now;|test:weirusher"
  "late-grant|crates/core/src/engine/request_table.rs|self.deadline.min(self.window_end - 2.0 * MAX_CLOCK_SKEW_SECONDS)|self.deadline|test:weirusher-core"
  "late-claim|crates/core/src/engine/attempts.rs|if expires_at <= now {|if false {|test:weirusher-core"
  "log-blocks|crates/log/src/lib.rs|            let _ = self.writer.write_all(line);|            let _ = io::stderr().write_all(line);|test:weirusher-cli"
  "log-unbounded|crates/log/src/line_counts.rs|let fits = lines_before < MAX_QUEUED_LINES|let fits = lines_before < usize::MAX|test:weirusher-log"
  "panic-uncaught|crates/node/src/connection.rs|Err(Panicked) => self.respond_after_panic().await,|Err(Panicked) => Err(CloseReason::Panicked),|test:weirusher-node"
  "panic-shared|crates/node/src/panics.rs|if std::thread::panicking() \&\& !self.was_panicking {|if false {|test:weirusher-node"
  "panic-engine|crates/ext-authz/src/shared_task.rs|failed.send_replace(true);||test:weirusher-ext-authz"
  "panic-grant|crates/ext-authz/src/services/ext_authz.rs|self.delivery = Some(delivery);|let _ = delivery;|test:weirusher-ext-authz"
  "reload-blocks|crates/node/src/config_file.rs|self.latest_read = Some(tokio::task::spawn_blocking(move \|\| read(\&file)));|self.latest_read = Some(tokio::spawn(async move { read(\&file) }));|test:weirusher-cli"
  "cache-blocks|crates/ext-authz/src/endpoint_cache.rs|tokio::time::timeout(LOAD_TIMEOUT, loaded)|tokio::time::timeout(Duration::MAX, loaded)|test:weirusher-cli"
  "drained|src/policy/endpoint_list.rs|backend.running = entry.lifecycle == Lifecycle::Running;|backend.running = true;|drains"
  "cold-budget|src/policy/selection.rs|if score < best_score \&\& self.slow_start_budget(index, candidates) >= 1.0 {|if score < best_score {|cold"
  "cold-ramp|src/policy/tuning.rs|const SLOW_START_FRACTION: f64 = 0.4;|const SLOW_START_FRACTION: f64 = 1.6;|test:weirusher"
  "repeat-window|crates/node/src/attempt.rs|tokio::time::timeout(timeout_duration(limits.write_timeout), written)|tokio::time::timeout(timeout_duration(f64::INFINITY), written)|test:weirusher-cli"
  "client-gone|crates/node/src/client_socket.rs|Ok(ready) if ready.is_read_closed() =>|Ok(ready) if ready.is_empty() =>|test:weirusher-cli"
  "reload-settings|crates/node/src/services.rs|self.discovery = Self::start_discovery(\&self.node, \&self.config);|self.discovery = Self::start_discovery(\&self.node, newer);|test:weirusher-cli"
  "reload-other|crates/node/src/services.rs|if needs_restart.contains(\&\"name\") {|if needs_restart.is_empty() {|test:weirusher-cli"
  "zone-unnamed|crates/platform/src/list/entry.rs|map_or_else(hashed,|map_or_else(\|\| 0 * hashed(),|test:weirusher-platform"
  "idle-crowd|crates/core/src/slots.rs|const EVICTION_GRACE: f64 = 0.25;|const EVICTION_GRACE: f64 = 2.0;|test:weirusher-core"
  "gone-unread|crates/node/src/connection.rs|            self.socket.read_ahead(\&mut self.buffer)?;|            let _ = self.socket.read_ahead(\&mut self.buffer);|test:weirusher-node"
  "answered-copy|crates/core/src/proxy/table.rs|request_deadline: request.deadline_timer.map(\|_\| request.deadline),|request_deadline: Some(request.deadline),|test:weirusher-cli"
  "second-answer|crates/core/src/pool.rs|const REUSE_DELAY: f64 = 0.01;|const REUSE_DELAY: f64 = -1.0;|test:weirusher-cli"
  "woken-list|crates/node/src/attempt.rs|if node.now() > node.list_current_until.get() {|if node.now() < 0.0 {|test:weirusher-cli"
  "asked-late|crates/core/src/watch.rs|const DIRECT: PollTiming = PollTiming { wait: 4.0, grace: 0.75 };|const DIRECT: PollTiming = PollTiming { wait: 4.0, grace: 3.0 };|test:weirusher-core"
  "thin-starts|src/policy/tuning.rs|const FRACTIONAL_SHARE_START_FRACTION: f64 = 0.85;|const FRACTIONAL_SHARE_START_FRACTION: f64 = 1.0;|test:weirusher"
  "ceiling-share|src/policy/admission.rs|if plan.ceiling_rate > 0.0 {|if plan.ceiling_rate > 1e9 {|ceilings"
  "safe-share|src/policy/quota.rs|(plan.ceiling_rate <= 0.0 \|\||(plan.ceiling_rate <= 1e9 \|\||ceilings"
  "held-released|src/policy/timers.rs|Some(Timer::LeaseWait(customer)) => self.end_lease_wait(\&customer, token),|Some(Timer::LeaseWait(_)) => {}|ceilings"
  "listener-closed|crates/ext-authz/src/acceptor.rs|_ = self.stopped.wait_for(.stop. .stop) => return,|_ = std::future::pending::<()>() => return,|answers"
  "watch-anew|crates/core/src/watch.rs|(self.last_opened_at, self.open_at) = (now, now + self.pause());|(self.last_opened_at, self.open_at) = (now, now + 6.0);|test:weirusher-core"
  "watch-oldest|crates/core/src/watch.rs|outputs.extend(self.polls.remove(1)|outputs.extend(self.polls.remove(0)|test:weirusher-core"
  "watch-first|crates/core/src/watch.rs|let outputs = others.map(\|poll\| WatchOutput::Close(poll.connection)).collect();|others.for_each(drop); let outputs = Vec::new();|test:weirusher-core"
  "called-back|crates/node/src/events.rs|state.cancel_unsent_attempts(now);||test:weirusher-cli"
  "unread-answer|crates/node/src/connection/respond.rs|tokio::time::timeout(WRITE_TIMEOUT,|tokio::time::timeout(Duration::MAX,|test:weirusher-cli"
  "close-over-bytes|crates/node/src/connection.rs|            self.lingering_close().await;||test:weirusher-cli"
  "end-amid-request|crates/core/src/slots.rs|(ConnectionState::New, None) \| (ConnectionState::Reading, _) => REQUEST_READ_TIMEOUT,|(ConnectionState::Reading, Some(_)) => 0.0, (ConnectionState::New, None) \| (ConnectionState::Reading, _) => REQUEST_READ_TIMEOUT,|test:weirusher-core"
  "fleet-proof|crates/fleet/src/membership/inbound.rs|if header.recipient_incarnation != self.own.number {|if false {|test:weirusher-fleet"
  "fleet-replay|crates/fleet/src/membership/inbound.rs|!link.replay_window.accept(header.sequence) {|false {|test:weirusher-fleet"
  "fleet-stale|crates/fleet/src/membership/inbound.rs|if header.incarnation < known {|if false {|test:weirusher-fleet"
  "fleet-code|crates/fleet/src/authenticator.rs|expected.verify_truncated_left(tag).ok()?;|let _ = (tag, expected);|test:weirusher-fleet"
  "fleet-flood|crates/fleet/src/membership/inbound.rs|if !self.links.get_mut(member).receive_limit.try_take(now) \|\| !self.receive_limit.try_take(now) {|if false {|test:weirusher-fleet"
  "fleet-place|crates/fleet/src/membership/inbound.rs|if header.sender != member {|if false {|test:weirusher-fleet"
  "fleet-size|crates/fleet/src/membership/inbound.rs|if header.fleet_size != self.table.size() {|if false {|test:weirusher-fleet"
  "fleet-numbers|crates/fleet/src/membership/inbound.rs|if !datagram.is_valid(self.table.size()) {|if false {|test:weirusher-fleet"
  "fleet-away|crates/fleet/src/membership/incarnation.rs|if idle < PAUSE_THRESHOLD |if true |test:weirusher-fleet"
  "fleet-late|crates/fleet/src/membership/schedule.rs|self.table.defer_deaths(now + LATE_TIMER_GRACE);||test:weirusher-fleet"
  "fleet-catch-up|crates/fleet/src/membership/schedule.rs|self.own.heartbeat += u32::try_from(missed).unwrap_or(0);||test:weirusher-fleet"
  "fleet-above|crates/fleet/src/membership/incarnation.rs|if now < self.own.startup_until {|if false {|test:weirusher-fleet"
  "fleet-superseded|crates/fleet/src/membership/incarnation.rs|self.own.superseded = true;||test:weirusher-fleet"
  "fleet-overtaken|crates/fleet/src/membership/inbound.rs|if evidence >= self.table.latest(header.sender) {|if true {|test:weirusher-fleet"
  "fleet-ask|crates/fleet/src/membership/failure_detector.rs|} else if silence >= timeouts.query \&\& !link.queried {|} else if false {|test:weirusher-fleet"
  "fleet-gone-copies|crates/fleet/src/membership/relay.rs|if relayed.age == AGE_DEAD {|if false {|test:weirusher-fleet"
  "fleet-watch|crates/fleet/src/membership/inbound.rs|self.links.subscribe(header.sender, now);||test:weirusher-fleet"
  "fleet-mending|crates/fleet/src/reachability.rs|if now < self.last_low + DEATH_KNOWN_WITHIN {|if false {|test:weirusher-fleet"
  "fleet-contradicted|crates/fleet/src/member_table.rs|if record.latest.refutes(last) {|if false {|test:weirusher-fleet"
  "fleet-cleared|crates/fleet/src/member_table.rs|if evidence.refutes(record.suspected_after) {|if false {|test:weirusher-fleet"
  "fleet-deaf|crates/fleet/src/member_table.rs|let suspected = !hears_nobody|let suspected = true|test:weirusher-fleet"
  "fleet-revival|crates/fleet/src/member_table.rs|MemberState::Dead => sent_at > record.state_since,|MemberState::Dead => true,|test:weirusher-fleet"
  "fleet-forgotten|crates/fleet/src/member_table.rs|now.saturating_sub(record.last_alive.max(self.running_since)) >= forget_after;|false;|test:weirusher-fleet"
  "fleet-plausible|crates/fleet/src/membership/relay.rs|if self.table.is_plausible(member, relayed.heartbeat, now) {|if true {|test:weirusher-fleet"
  "attempt-limit|crates/core/src/engine.rs|Timer::AttemptDeadline(id) => self.close_at_deadline(now, id),|Timer::AttemptDeadline(_) => {}|answers"
  "accept-stopping|crates/core/src/guard.rs|Some(shutdown) => Ok(deadline.min(shutdown.respond_by())),|Some(_) => Ok(deadline),|test:weirusher-cli"
  "accept-late|crates/core/src/guard.rs|if now + MIN_ACCEPT_TIME > shutdown.respond_by() => Err(Reason::Stopping),|if now > shutdown.respond_by() + 1e6 => Err(Reason::Stopping),|test:weirusher-cli"
  "deadline-told|crates/core/src/guard.rs|timeout: attempt_deadline.min(request_deadline) - now,|timeout: attempt_deadline - now + 0.3,|test:weirusher-cli"
  "saved-tokens|src/policy/slow_start.rs|if since_due <= lifetime { 1.0 } else { 0.0 }|if since_due <= 1e9 * lifetime { 1.0 } else { 0.0 }|test:weirusher"
  "shrunken-list|src/policy/slow_start.rs| * self.load.running_fraction(self.now, running)||test:weirusher"
  "subset-places|src/policy/subset.rs|(f64::from(gateway) * GOLDEN_RATIO_FRACTION).fract()|(f64::from(gateway) * 0.3).fract()|test:weirusher"
  "subset-bound|src/policy/tuning.rs|const MAX_SUBSET_SIZE: usize = 32;|const MAX_SUBSET_SIZE: usize = 3200;|test:weirusher"
)

copy() {
  mkdir -p "$work/tree"
  (cd "$root" && git ls-files -z | grep -zv '^journal/' | xargs -0 cp --parents -t "$work/tree")
}

failed=0
for line in "${mutants[@]}"; do
  IFS='|' read -r name file from to check <<<"${line//\\|/$'\x01'}"
  from="${from//$'\x01'/|}"
  if [ "$#" -gt 0 ] && [[ ! " $* " == *" $name "* ]]; then continue; fi
  rm -rf "$work/tree"
  copy
  if ! python3 - "$work/tree/$file" "$from" "$to" <<'PY'
import sys
path, old, new = sys.argv[1], sys.argv[2].replace("\\&", "&"), sys.argv[3].replace("\\&", "&")
text = open(path).read()
flat = old.replace(".stop. .stop", "|stop| *stop")
if text.count(flat) != 1:
    sys.exit(f"{path}: {text.count(flat)} places instead of one have: {flat}")
open(path, "w").write(text.replace(flat, new))
PY
  then
    echo "$name: no mutant"
    failed=1
    continue
  fi
  if [[ "$check" == test:* ]]; then
    tests=(cargo test --quiet --locked -p "${check#test:}" --manifest-path "$work/tree/Cargo.toml")
    export CARGO_TARGET_DIR="$root/target/mutants"
    if ! "${tests[@]}" --no-run 2>/dev/null; then
      echo "$name: does not build"
      failed=1
    elif out="$(timeout 300 "${tests[@]}" 2>/dev/null)"; then
      echo "$name: SURVIVES in the tests of ${check#test:}"
      failed=1
    else
      echo "$name: found by $(grep -m1 -oE "^test [a-z_:]+ \.\.\. FAILED|^    [a-z_:]+$" <<<"$out" | tr -s ' ' | cut -c1-120)"
    fi
    continue
  fi
  CARGO_TARGET_DIR="$root/target/mutants" cargo build --quiet --release --locked -p weirusher-cli \
    --manifest-path "$work/tree/Cargo.toml" 2>/dev/null || { echo "$name: does not build"; failed=1; continue; }
  if out="$(cd "$work/tree" && timeout 120 "$root/target/mutants/release/weirusher" scenario "days/$check.toml" 2>/dev/null)"; then
    echo "$name: SURVIVES on $check"
    failed=1
  else
    echo "$name: found on $check: $(grep -m1 -oE '(NoRequestLost|NoDuplicateEffect|DrainsRespected|ColdBackendsNotOverloaded|CeilingsRespected|QuotasRespected|AdmittedIsCounted).*' <<<"$out" | cut -c1-120)"
  fi
done
exit "$failed"
