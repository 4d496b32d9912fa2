//! `fleet`: shows a running gateway's view of the other gateways.

use crate::error::CommandError;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::ops::Range;
use std::process::ExitCode;
use std::time::Duration;
use weirusher_fleet::{DatagramCounters, MemberState, MemberView, View};
use weirusher_peers::page;

/// Time limit for the response of the admin server.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Range of times since the last direct heartbeat, in milliseconds, within which a member is listed as not heard.
/// After a longer silence, this gateway is usually no longer an observer of the member, so silence is expected.
const NOT_HEARD_MS: Range<u64> = 2_000..60_000;
/// Members listed per line of the output.
const MEMBERS_PER_LINE: usize = 12;

/// Prints a gateway's view, as a table or as JSON.
pub async fn show(admin: SocketAddr, json: bool) -> Result<ExitCode, CommandError> {
    let response = tokio::time::timeout(ADMIN_TIMEOUT, page::get(admin, "/fleet")).await;
    let response = response.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
    let response = response.map_err(|error| CommandError::Admin { admin, error })?;
    let body = String::from_utf8_lossy(&response.body);
    match serde_json::from_slice::<View>(&response.body) {
        Ok(_) if json => println!("{body}"),
        Ok(view) => print!("{}", render_view(&view)),
        Err(_) => return Err(CommandError::NoFleet { admin, body: body.trim().to_string() }),
    }
    Ok(ExitCode::SUCCESS)
}

/// Renders a view as human-readable text: reachability, members by state, datagrams.
fn render_view(view: &View) -> String {
    let mut text = format!("gateway {}, incarnation {}\n", view.number, view.incarnation);
    write_reachability(&mut text, view);
    write_members(&mut text, view);
    write_datagrams(&mut text, view);
    text
}

fn write_reachability(text: &mut String, view: &View) {
    let reachability = view.reachability;
    let last_heartbeat =
        reachability.last_received_ms.map_or_else(|| "none yet".to_string(), |ms| format!("{ms} ms ago"));
    let superseded = if reachability.superseded {
        "; superseded by another process with the same gateway number"
    } else {
        ""
    };
    let _ = writeln!(
        text,
        "  reachable  {:.0} % of the fleet; last heartbeat: {last_heartbeat}{superseded}",
        100.0 * reachability.fraction(),
    );
    let _ = writeln!(
        text,
        "  hears      {} of {} directly; {} of {} others alive",
        reachability.subjects_heard, reachability.subjects, reachability.alive, reachability.others
    );
    let _ = writeln!(
        text,
        "  heard by   {} of {} that it sends to; {} report not hearing it",
        reachability.observers_confirming, reachability.observers, reachability.observers_denying
    );
    let not_hearing = member_numbers(view.members.iter().filter(|member| member.reports_unheard));
    let not_heard = member_numbers(view.members.iter().filter(|member| is_not_heard(member)));
    for (label, members) in [("unheard by", not_hearing), ("not heard", not_heard)] {
        if !members.is_empty() {
            let _ = writeln!(text, "  {label:<10} {}", members.join(", "));
        }
    }
}

/// Whether a member is alive, but its last direct heartbeat is overdue.
fn is_not_heard(member: &MemberView) -> bool {
    member.state == MemberState::Alive && member.last_received_ms.is_some_and(|ms| NOT_HEARD_MS.contains(&ms))
}

fn member_numbers<'a>(members: impl Iterator<Item = &'a MemberView>) -> Vec<String> {
    members.map(|member| member.number.to_string()).collect()
}

/// Writes the number of members in each state, and lists those that are not alive.
fn write_members(text: &mut String, view: &View) {
    for state in [MemberState::Alive, MemberState::Suspected, MemberState::Dead, MemberState::Unknown] {
        let members: Vec<_> = view.members.iter().filter(|member| member.state == state).collect();
        let _ = writeln!(text, "  {:<10} {}", state.as_str(), members.len());
        if state == MemberState::Alive {
            continue;
        }
        for line in members.chunks(MEMBERS_PER_LINE) {
            let entry = |m: &&MemberView| format!("{} for {:.1} s", m.number, m.state_age_ms as f64 / 1000.0);
            let _ = writeln!(text, "    {}", line.iter().map(entry).collect::<Vec<_>>().join(", "));
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
    let _ = writeln!(
        text,
        "  received   {} datagrams; rejected: {}",
        counters.received,
        format_rejections(counters)
    );
}

/// Counts of rejected datagrams by reason. Reasons that have not occurred are omitted.
fn format_rejections(counters: &DatagramCounters) -> String {
    let reasons = [
        ("oversized", counters.oversized),
        ("wrong sender address", counters.wrong_sender),
        ("flood", counters.rate_limited),
        ("authentication failed", counters.unauthenticated),
        ("malformed", counters.malformed),
        ("wrong fleet size", counters.wrong_fleet_size),
        ("wrong recipient", counters.wrong_recipient),
        ("replayed", counters.replayed),
        ("stale sender incarnation", counters.stale_sender),
        ("stale recipient incarnation", counters.stale_recipient),
        ("malformed member state", counters.malformed_state),
    ];
    let occurred = reasons.iter().filter(|(_, count)| *count > 0);
    let listed: Vec<String> = occurred.map(|(reason, count)| format!("{reason} {count}")).collect();
    if listed.is_empty() { "none".to_string() } else { listed.join(", ") }
}
