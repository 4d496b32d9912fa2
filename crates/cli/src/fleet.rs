//! `weirusher fleet`: what a running gateway believes of the others.

use crate::commands::{FAILED, WRONG, fail};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use weirusher_fleet::{Counters, MemberState, MemberView, View};
use weirusher_peers::page;

/// How long a page may take.
const PATIENCE: Duration = Duration::from_secs(5);
/// Milliseconds after which a member that was heard directly is shown as not heard any more, and until when: members
/// that have other watchers since are not heard either, and that is as it should be.
const LOST: u64 = 2_000;
const LONG: u64 = 60_000;
/// Members in one line of the table.
const LINE: usize = 12;

pub async fn show(admin: SocketAddr, json: bool) -> ExitCode {
    let asked = tokio::time::timeout(PATIENCE, page::get(admin, "/fleet")).await;
    let answer = match asked.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
        Ok(answer) => answer,
        Err(error) => return fail(FAILED, &format!("{admin}: {error}")),
    };
    let body = String::from_utf8_lossy(&answer.body);
    match serde_json::from_slice::<View>(&answer.body) {
        Ok(_) if json => println!("{body}"),
        Ok(view) => print!("{}", table(&view)),
        Err(_) => return fail(WRONG, &format!("{admin}: {}", body.trim())),
    }
    ExitCode::SUCCESS
}

/// A table for people: this one's standing, the others by what is believed of them, and what was refused.
fn table(view: &View) -> String {
    let reachability = view.reachability;
    let mut text = format!("gateway {}, incarnation {}\n", view.number, view.incarnation);
    let age =
        reachability.last_received_ms.map_or_else(|| "nobody yet".to_string(), |ms| format!("{ms} ms ago"));
    let _ = writeln!(
        text,
        "  counts on  {:.0} % of the fleet; heard last: {age}{}",
        100.0 * reachability.fraction(),
        if reachability.superseded { "; replaced by another process under its number" } else { "" }
    );
    let _ = writeln!(
        text,
        "  hears      {} of {} directly; {} of {} others live",
        reachability.subjects_heard, reachability.subjects, reachability.alive, reachability.others
    );
    let _ = writeln!(
        text,
        "  heard by   {} of {} that it sends to; {} say that they do not",
        reachability.observers_confirming, reachability.observers, reachability.observers_denying
    );
    for (what, members) in [("deaf to it", denying(view)), ("not heard", unheard(view))] {
        if !members.is_empty() {
            let _ = writeln!(text, "  {what:<10} {}", members.join(", "));
        }
    }
    for state in [MemberState::Alive, MemberState::Suspected, MemberState::Dead, MemberState::Unknown] {
        let members: Vec<_> = view.members.iter().filter(|member| member.state == state).collect();
        let _ = writeln!(text, "  {:<10} {}", state.as_str(), members.len());
        if state == MemberState::Alive {
            continue;
        }
        for line in members.chunks(LINE) {
            let name = |m: &&MemberView| format!("{} for {:.1} s", m.number, m.state_age_ms as f64 / 1000.0);
            let _ = writeln!(text, "    {}", line.iter().map(name).collect::<Vec<_>>().join(", "));
        }
    }
    let _ = writeln!(
        text,
        "  sent       {} datagrams, {} bytes; put off {}; rumours waiting {}, dropped {}",
        view.counters.sent,
        view.counters.sent_bytes,
        view.counters.deferred,
        view.gossip_queued,
        view.counters.gossip_dropped
    );
    let _ = writeln!(
        text,
        "  received   {} datagrams; refused: {}",
        view.counters.received,
        refused(&view.counters)
    );
    text
}

/// Members that say that they do not hear this one.
fn denying(view: &View) -> Vec<String> {
    view.members
        .iter()
        .filter(|member| member.reports_unheard)
        .map(|member| member.number.to_string())
        .collect()
}

/// Members that live, and were heard directly once, but not any more: the way from them is broken, or they have another
/// watcher now.
fn unheard(view: &View) -> Vec<String> {
    let lost = |member: &&MemberView| {
        member.state == MemberState::Alive
            && member.last_received_ms.is_some_and(|ms| (LOST..LONG).contains(&ms))
    };
    view.members.iter().filter(lost).map(|member| member.number.to_string()).collect()
}

/// What was refused and why, but for what never was.
fn refused(counters: &Counters) -> String {
    let all = [
        ("oversized", counters.oversized),
        ("from elsewhere", counters.wrong_sender),
        ("flood", counters.rate_limited),
        ("other key or forged", counters.unauthenticated),
        ("malformed", counters.malformed),
        ("other fleet size", counters.wrong_fleet_size),
        ("for another", counters.wrong_recipient),
        ("replayed", counters.replayed),
        ("of a life that is over", counters.stale_sender),
        ("to a life that is over", counters.stale_recipient),
        ("unreadable state", counters.malformed_state),
    ];
    let some: Vec<String> = all.iter().filter(|(_, n)| *n > 0).map(|(why, n)| format!("{why} {n}")).collect();
    if some.is_empty() { "nothing".to_string() } else { some.join(", ") }
}
