//! `fleet`: a running gateway's view of the other gateways.

use crate::error::CommandError;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::ops::Range;
use std::process::ExitCode;
use std::time::Duration;
use weirusher_fleet::{Counters, MemberState, MemberView, View};
use weirusher_peers::page;

/// Limit for the response of the admin page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Milliseconds since the last direct heartbeat with which a member is listed as not heard. After a longer time it is
/// normal: the member sends its heartbeats to others by then.
const NOT_HEARD_MS: Range<u64> = 2_000..60_000;
/// Members in one line of the table.
const MEMBERS_PER_LINE: usize = 12;

/// Prints a gateway's view, as a table or as JSON.
pub async fn show(admin: SocketAddr, json: bool) -> Result<ExitCode, CommandError> {
    let response = tokio::time::timeout(PAGE_TIMEOUT, page::get(admin, "/fleet")).await;
    let response = response.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
    let response = response.map_err(|error| CommandError::Admin { admin, error })?;
    let body = String::from_utf8_lossy(&response.body);
    match serde_json::from_slice::<View>(&response.body) {
        Ok(_) if json => println!("{body}"),
        Ok(view) => print!("{}", table(&view)),
        Err(_) => return Err(CommandError::NoFleet { admin, body: body.trim().to_string() }),
    }
    Ok(ExitCode::SUCCESS)
}

/// A view as a table for people: reachability, members by state, datagrams.
fn table(view: &View) -> String {
    let mut text = format!("gateway {}, incarnation {}\n", view.number, view.incarnation);
    write_reachability(&mut text, view);
    write_members(&mut text, view);
    write_datagrams(&mut text, view);
    text
}

fn write_reachability(text: &mut String, view: &View) {
    let reachability = view.reachability;
    let last =
        reachability.last_received_ms.map_or_else(|| "none yet".to_string(), |ms| format!("{ms} ms ago"));
    let superseded =
        if reachability.superseded { "; superseded by another process under its number" } else { "" };
    let _ = writeln!(
        text,
        "  reachable  {:.0} % of the fleet; last heartbeat: {last}{superseded}",
        100.0 * reachability.fraction(),
    );
    let _ = writeln!(
        text,
        "  hears      {} of {} directly; {} of {} others alive",
        reachability.subjects_heard, reachability.subjects, reachability.alive, reachability.others
    );
    let _ = writeln!(
        text,
        "  heard by   {} of {} that it sends to; {} report that they do not hear it",
        reachability.observers_confirming, reachability.observers, reachability.observers_denying
    );
    let not_hearing = numbers(view.members.iter().filter(|member| member.reports_unheard));
    let not_heard = numbers(view.members.iter().filter(|member| is_not_heard(member)));
    for (label, members) in [("unheard by", not_hearing), ("not heard", not_heard)] {
        if !members.is_empty() {
            let _ = writeln!(text, "  {label:<10} {}", members.join(", "));
        }
    }
}

/// Whether a member is alive and was heard directly some time ago, but not since.
fn is_not_heard(member: &MemberView) -> bool {
    member.state == MemberState::Alive && member.last_received_ms.is_some_and(|ms| NOT_HEARD_MS.contains(&ms))
}

fn numbers<'a>(members: impl Iterator<Item = &'a MemberView>) -> Vec<String> {
    members.map(|member| member.number.to_string()).collect()
}

/// Counts of members by state, and which ones are in a state other than alive.
fn write_members(text: &mut String, view: &View) {
    for state in [MemberState::Alive, MemberState::Suspected, MemberState::Dead, MemberState::Unknown] {
        let members: Vec<_> = view.members.iter().filter(|member| member.state == state).collect();
        let _ = writeln!(text, "  {:<10} {}", state.as_str(), members.len());
        if state == MemberState::Alive {
            continue;
        }
        for line in members.chunks(MEMBERS_PER_LINE) {
            let since = |m: &&MemberView| format!("{} for {:.1} s", m.number, m.state_age_ms as f64 / 1000.0);
            let _ = writeln!(text, "    {}", line.iter().map(since).collect::<Vec<_>>().join(", "));
        }
    }
}

fn write_datagrams(text: &mut String, view: &View) {
    let counters = &view.counters;
    let _ = writeln!(
        text,
        "  sent       {} datagrams, {} bytes; deferred {}; gossip updates waiting {}, dropped {}",
        counters.sent, counters.sent_bytes, counters.deferred, view.gossip_queued, counters.gossip_dropped
    );
    let _ =
        writeln!(text, "  received   {} datagrams; rejected: {}", counters.received, rejections(counters));
}

/// Why datagrams were rejected and how many; causes that never occurred are left out.
fn rejections(counters: &Counters) -> String {
    let causes = [
        ("oversized", counters.oversized),
        ("from another address", counters.wrong_sender),
        ("flood", counters.rate_limited),
        ("other key or forged", counters.unauthenticated),
        ("malformed", counters.malformed),
        ("other fleet size", counters.wrong_fleet_size),
        ("for another member", counters.wrong_recipient),
        ("replayed", counters.replayed),
        ("from an ended incarnation", counters.stale_sender),
        ("to an ended incarnation", counters.stale_recipient),
        ("unreadable state", counters.malformed_state),
    ];
    let occurred = causes.iter().filter(|(_, count)| *count > 0);
    let listed: Vec<String> = occurred.map(|(cause, count)| format!("{cause} {count}")).collect();
    if listed.is_empty() { "none".to_string() } else { listed.join(", ") }
}
