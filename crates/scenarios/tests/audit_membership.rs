//! Audits of constructed captures with membership reports: a valid capture has no violation, and each incorrect report
//! is found as a violation of its rule.

use serde_json::{Value, json};
use weirusher_scenarios::{MembershipRule, Rule, audit};

/// Number of gateways in the capture.
const GATEWAYS: usize = 4;
/// Duration of the capture, in seconds.
const SECONDS: usize = 60;

/// The report of a gateway at a time, with `alive` as the members that it reports alive and all others as dead.
fn report(t: f64, gateway: usize, alive: &[usize]) -> Value {
    let dead: Vec<usize> = (0..GATEWAYS).filter(|n| *n != gateway && !alive.contains(n)).collect();
    let share = alive.len() as f64 / (GATEWAYS - 1) as f64;
    json!({"t": t, "what": "states", "gk": gateway, "twin": false, "asked": t - 0.001, "belief":
        {"incarnation": 7, "alive": alive, "gone": dead, "share": share, "heard": alive.len(), "superseded": false}})
}

/// A capture in which each gateway reports every second that all others are alive.
fn valid_capture() -> Vec<Value> {
    let mut lines = vec![
        json!({"t": 0.0, "what": "day", "name": "made", "rules": {"drain_grace": 0.5, "plans": [], "customers": {},
            "effects": [], "slack": 0.1, "gatekeepers": GATEWAYS, "counted": false, "max_units": 1.0, "window": 0.0}}),
        json!({"t": 0.0, "what": "peers", "size": GATEWAYS, "strangers": []}),
    ];
    for second in 1..=SECONDS {
        for gateway in 0..GATEWAYS {
            let others: Vec<usize> = (0..GATEWAYS).filter(|n| *n != gateway).collect();
            lines.push(report(second as f64 + gateway as f64 / 100.0, gateway, &others));
        }
    }
    lines
}

fn violated_rules(lines: &[Value]) -> Vec<Rule> {
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let mut rules: Vec<Rule> =
        audit(text.as_bytes()).unwrap().violations.iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

/// Rules violated by the valid capture after an event is inserted at its time and each later line is changed.
fn violated_after(event: Value, mut change: impl FnMut(&mut Value)) -> Vec<Rule> {
    let mut lines = valid_capture();
    let t = event["t"].as_f64().unwrap();
    let position = lines.iter().position(|line| line["t"].as_f64().unwrap() > t).unwrap_or(lines.len());
    lines.insert(position, event);
    lines[position + 1..].iter_mut().for_each(&mut change);
    lines.retain(|line| !line.is_null());
    violated_rules(&lines)
}

fn time(line: &Value) -> f64 {
    line["t"].as_f64().unwrap()
}

/// Removes a line if it is an event of this gateway.
fn remove_if_of(line: &mut Value, gateway: usize) {
    if line["gk"] == gateway {
        *line = Value::Null;
    }
}

/// Changes a report that another gateway sent after a time, so that it has this gateway as dead.
fn report_dead(line: &mut Value, gateway: usize, at: f64) {
    if !line.is_null() && line["gk"] != gateway && time(line) > at {
        let own = line["gk"].as_u64().unwrap() as usize;
        let alive: Vec<usize> = (0..GATEWAYS).filter(|n| *n != own && *n != gateway).collect();
        *line = report(time(line), own, &alive);
    }
}

#[test]
fn a_valid_capture_passes_and_a_silent_gateway_does_not() {
    assert_eq!(violated_rules(&valid_capture()), []);
    let silent =
        violated_after(json!({"t": 20.0, "what": "fault", "text": "none"}), |line| remove_if_of(line, 2));
    assert_eq!(silent, [Rule::Membership(MembershipRule::Responds)]);
}

#[test]
fn a_death_that_is_not_reported_in_time_is_found() {
    let killed = json!({"t": 20.0, "what": "gatekeeper", "gk": 2, "running": false});
    let in_time = violated_after(killed.clone(), |line| {
        remove_if_of(line, 2);
        report_dead(line, 2, 25.0);
    });
    assert_eq!(in_time, []);
    // In a fleet of four, a silent member is forgotten after 10.4 s. The bound adds 2.48 s for gossip and 1 s for
    // delays on a busy machine.
    let late = violated_after(killed, |line| {
        remove_if_of(line, 2);
        report_dead(line, 2, 36.0);
    });
    assert_eq!(late, [Rule::Membership(MembershipRule::DeathDetected)]);
}

#[test]
fn a_reachable_member_that_is_reported_dead_is_found() {
    let no_fault = json!({"t": 20.0, "what": "fault", "text": "none"});
    assert_eq!(
        violated_after(no_fault, |line| report_dead(line, 2, 25.0)),
        [Rule::Membership(MembershipRule::AliveDetected)]
    );
    // The gateway is restarted, but is reported alive only after the recovery bound.
    let mut lines = valid_capture();
    lines.insert(2, json!({"t": 0.5, "what": "gatekeeper", "gk": 2, "running": false}));
    lines[3..].iter_mut().for_each(|line| {
        if time(line) < 20.0 {
            remove_if_of(line, 2);
        }
        if !line.is_null() && time(line) < 30.0 {
            report_dead(line, 2, 0.0);
        }
    });
    lines.retain(|line| !line.is_null());
    let position = lines.iter().position(|line| time(line) >= 20.0).unwrap();
    lines.insert(position, json!({"t": 19.5, "what": "gatekeeper", "gk": 2, "running": true}));
    assert_eq!(violated_rules(&lines), [Rule::Membership(MembershipRule::AliveDetected)]);
}

#[test]
fn only_one_death_report_after_a_short_partition_is_allowed() {
    // A short partition raises a suspicion that may be confirmed after the partition has ended, and is then refuted.
    let short_partition = |again: bool| {
        let mut lines = valid_capture();
        for (at, groups) in [(20.0, [0, 1, 1, 1]), (21.5, [0, 0, 0, 0])] {
            let position = lines.iter().position(|line| time(line) > at).unwrap();
            lines.insert(position, json!({"t": at, "what": "groups", "groups": groups}));
        }
        for line in &mut lines {
            let dead = (22.5..23.5).contains(&time(line)) || again && (24.5..25.5).contains(&time(line));
            if dead && line["what"] == "states" && line["gk"] == 1 {
                report_dead(line, 0, 0.0);
            }
        }
        violated_rules(&lines)
    };
    assert_eq!(short_partition(false), []);
    assert_eq!(short_partition(true), [Rule::Membership(MembershipRule::AliveDetected)]);
}

#[test]
fn an_unreached_gateway_must_not_report_a_reachable_share() {
    let partition = json!({"t": 20.0, "what": "groups", "groups": [0, 1, 1, 1]});
    // The others report gateway 0 as dead; `own_updated`: gateway 0 itself reports that it hears no other.
    let report_partition = |line: &mut Value, own_updated: bool| {
        report_dead(line, 0, 24.0);
        if own_updated && line["gk"] == 0 && time(line) > 22.0 {
            *line = report(time(line), 0, &[]);
        }
    };
    assert_eq!(violated_after(partition.clone(), |line| report_partition(line, true)), []);
    let own_unchanged = violated_after(partition, |line| report_partition(line, false));
    assert!(own_unchanged.contains(&Rule::Membership(MembershipRule::ReachabilityTrue)), "{own_unchanged:?}");
}

#[test]
fn a_gateway_reaching_none_must_not_report_a_reachable_share() {
    let mut lines = valid_capture();
    for to in 1..GATEWAYS {
        lines.insert(2, json!({"t": 0.5, "what": "blocked", "from": 0, "to": to, "blocked": true}));
    }
    assert!(violated_rules(&lines).contains(&Rule::Membership(MembershipRule::ReachabilityTrue)));
}

/// The member's messages still arrive, relayed by other members.
#[test]
fn a_member_blocked_in_one_direction_stays_reachable() {
    let blocked = json!({"t": 20.0, "what": "blocked", "from": 0, "to": 1, "blocked": true});
    assert_eq!(violated_after(blocked.clone(), |_| {}), []);
    let lost = violated_after(blocked, |line| {
        if line["gk"] == 1 {
            report_dead(line, 0, 40.0);
        }
    });
    assert_eq!(lost, [Rule::Membership(MembershipRule::AliveDetected)]);
}

#[test]
fn a_gateway_that_was_suspended_must_report_a_new_incarnation() {
    let resumed_with = |incarnation: u64| {
        let mut lines = valid_capture();
        for line in &mut lines[2..] {
            if line["gk"] == 2 && (20.0..31.0).contains(&time(line)) {
                *line = Value::Null;
            } else if line["gk"] == 2 && time(line) > 31.0 {
                line["belief"]["incarnation"] = json!(incarnation);
            } else if (25.0..31.0).contains(&time(line)) {
                report_dead(line, 2, 25.0);
            }
        }
        lines.retain(|line| !line.is_null());
        for (at, paused) in [(20.0, true), (31.0, false)] {
            let position = lines.iter().position(|line| time(line) > at).unwrap();
            lines.insert(position, json!({"t": at, "what": "paused", "gk": 2, "paused": paused}));
        }
        violated_rules(&lines)
    };
    assert_eq!(resumed_with(8), []);
    assert_eq!(resumed_with(7), [Rule::Membership(MembershipRule::NewIncarnation)]);
}

/// Of two processes with the same number, the earlier one must report that it is superseded.
#[test]
fn a_duplicate_process_must_be_reported_as_superseded() {
    let duplicate = json!({"t": 20.0, "what": "twin", "gk": 2});
    let superseded = |line: &mut Value| {
        if line["gk"] == 2 && time(line) > 25.0 {
            line["belief"]["superseded"] = json!(true);
        }
    };
    assert_eq!(violated_after(duplicate.clone(), superseded), []);
    assert_eq!(violated_after(duplicate, |_| {}), [Rule::Membership(MembershipRule::DuplicateSuperseded)]);
}
