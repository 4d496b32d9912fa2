//! Selects the rule of the control file that applies to a call.

use crate::control::control;
use crate::layout::{HEADER_WORDS, RULE_WORDS, RULES, action, word};
use crate::libc::getsockname;
use crate::ports::{peer_port, port};
use core::ffi::c_int;
use core::sync::atomic::{AtomicI64, Ordering};

/// Peer port of calls that have no connected socket.
pub const NO_PEER: Option<u16> = Some(0);

/// A rule that applies to a call.
#[derive(Clone, Copy)]
pub struct MatchedRule {
    /// One of [`action`].
    pub action: u64,
    /// Parameter of the action; see [`word::VALUE`].
    pub value: i64,
    /// For [`action::TRANSLATE`], the errno that is replaced.
    pub replaced_errno: i64,
    words: &'static [AtomicI64],
}

impl MatchedRule {
    /// Counts a call that the rule changed.
    pub fn count(&self) {
        self.words[word::INJECTED].fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the first rule that applies to a call of kind `kind` (one of [`crate::layout::call`]) on `fd`. `peer` is the
/// port of the socket's peer, where the caller knows it. Counts the call for the rule, except for
/// [`action::TRANSLATE`]: whether that changes the call is known only from its result, so the caller counts it.
pub fn matching_rule(kind: u64, fd: c_int, peer: Option<u16>) -> Option<MatchedRule> {
    let words = control()?;
    let rules = words[HEADER_WORDS..].chunks_exact(RULE_WORDS).take(RULES);
    rules.filter(|rule| applies_to(rule, kind, fd, peer)).find_map(consume_call)
}

/// Returns whether a rule is active and applies to calls of this kind, descriptor and peer.
fn applies_to(rule: &[AtomicI64], kind: u64, fd: c_int, peer: Option<u16>) -> bool {
    let load = |index: usize| rule[index].load(Ordering::Relaxed);
    if rule[word::ACTIVE].load(Ordering::Acquire) != 1 || load(word::CALL) as u64 != kind {
        return false;
    }
    let (wanted_peer, wanted_local) = (load(word::PEER_PORT) as u16, load(word::LOCAL_PORT) as u16);
    (wanted_peer == 0 || peer.unwrap_or_else(|| peer_port(fd)) == wanted_peer)
        && (wanted_local == 0 || port(fd, getsockname) == wanted_local)
}

/// Consumes one call of a rule's limits and counts it. Returns `None` while the rule still skips calls, and once its
/// number of calls is used up. Translations have no limits.
fn consume_call(words: &'static [AtomicI64]) -> Option<MatchedRule> {
    let load = |index: usize| words[index].load(Ordering::Relaxed);
    let rule = MatchedRule {
        action: load(word::ACTION) as u64,
        value: load(word::VALUE),
        replaced_errno: load(word::REPLACED_ERRNO),
        words,
    };
    if rule.action == action::TRANSLATE {
        return Some(rule);
    }
    if load(word::SKIP) > 0 && words[word::SKIP].fetch_sub(1, Ordering::Relaxed) > 0 {
        return None;
    }
    let times = load(word::TIMES);
    if times == 0 || times > 0 && words[word::TIMES].fetch_sub(1, Ordering::Relaxed) <= 0 {
        return None;
    }
    rule.count();
    Some(rule)
}
