//! The auditor's judgement of what gatekeepers state of each other: a sound capture passes, and each thing stated that
//! is not so is found under its claim.

use serde_json::{Value, json};
use weirusher_scenarios::{MembershipRule, Rule, audit};

/// Gatekeepers of the capture.
const SIZE: usize = 4;
/// Its seconds.
const SECONDS: usize = 60;

/// What one gatekeeper states of those that it should know to live.
fn states(t: f64, gk: usize, alive: &[usize]) -> Value {
    let gone: Vec<usize> = (0..SIZE).filter(|n| *n != gk && !alive.contains(n)).collect();
    let share = alive.len() as f64 / (SIZE - 1) as f64;
    json!({"t": t, "what": "states", "gk": gk, "twin": false, "asked": t - 0.001, "belief":
        {"incarnation": 7, "alive": alive, "gone": gone, "share": share, "heard": alive.len(), "superseded": false}})
}

/// All state each second that all live.
fn sound() -> Vec<Value> {
    let mut lines = vec![
        json!({"t": 0.0, "what": "day", "name": "made", "rules": {"drain_grace": 0.5, "plans": [], "customers": {},
            "effects": [], "slack": 0.1, "gatekeepers": SIZE, "counted": false, "max_units": 1.0, "window": 0.0}}),
        json!({"t": 0.0, "what": "peers", "size": SIZE, "strangers": []}),
    ];
    for second in 1..=SECONDS {
        for gk in 0..SIZE {
            let others: Vec<usize> = (0..SIZE).filter(|n| *n != gk).collect();
            lines.push(states(second as f64 + gk as f64 / 100.0, gk, &others));
        }
    }
    lines
}

fn judged(lines: &[Value]) -> Vec<Rule> {
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let mut rules: Vec<Rule> = audit(text.as_bytes()).unwrap().violations.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

/// The sound capture with a line put in at its time, and each statement from then on changed.
fn with(fact: Value, mut change: impl FnMut(&mut Value)) -> Vec<Rule> {
    let mut lines = sound();
    let t = fact["t"].as_f64().unwrap();
    let place = lines.iter().position(|line| line["t"].as_f64().unwrap() > t).unwrap_or(lines.len());
    lines.insert(place, fact);
    lines[place + 1..].iter_mut().for_each(&mut change);
    lines.retain(|line| !line.is_null());
    judged(&lines)
}

fn t(line: &Value) -> f64 {
    line["t"].as_f64().unwrap()
}

/// A gatekeeper's statements end.
fn silent(line: &mut Value, gk: usize) {
    if line["gk"] == gk {
        *line = Value::Null;
    }
}

/// From a moment on the others know that one is gone.
fn known(line: &mut Value, gk: usize, at: f64) {
    if !line.is_null() && line["gk"] != gk && t(line) > at {
        let own = line["gk"].as_u64().unwrap() as usize;
        let alive: Vec<usize> = (0..SIZE).filter(|n| *n != own && *n != gk).collect();
        *line = states(t(line), own, &alive);
    }
}

#[test]
fn a_sound_capture_passes_and_a_mute_gatekeeper_does_not() {
    assert_eq!(judged(&sound()), []);
    let mute = with(json!({"t": 20.0, "what": "fault", "text": "none"}), |line| silent(line, 2));
    assert_eq!(mute, [Rule::Membership(MembershipRule::Responds)]);
}

#[test]
fn a_death_that_is_not_known_in_time_is_found() {
    let killed = json!({"t": 20.0, "what": "gatekeeper", "gk": 2, "running": false});
    let in_time = with(killed.clone(), |line| {
        silent(line, 2);
        known(line, 2, 25.0);
    });
    assert_eq!(in_time, []);
    // Four are forgotten after 10.4 s, 2.48 s are for the rumour and one for a busy machine.
    let late = with(killed, |line| {
        silent(line, 2);
        known(line, 2, 36.0);
    });
    assert_eq!(late, [Rule::Membership(MembershipRule::DeathDetected)]);
}

#[test]
fn a_member_in_reach_that_is_stated_gone_is_found() {
    let nothing = json!({"t": 20.0, "what": "fault", "text": "none"});
    assert_eq!(with(nothing, |line| known(line, 2, 25.0)), [Rule::Membership(MembershipRule::AliveDetected)]);
    // It comes back, and is not known to for too long.
    let mut lines = sound();
    lines.insert(2, json!({"t": 0.5, "what": "gatekeeper", "gk": 2, "running": false}));
    lines[3..].iter_mut().for_each(|line| {
        if t(line) < 20.0 {
            silent(line, 2);
        }
        if !line.is_null() && t(line) < 30.0 {
            known(line, 2, 0.0);
        }
    });
    lines.retain(|line| !line.is_null());
    let place = lines.iter().position(|line| t(line) >= 20.0).unwrap();
    lines.insert(place, json!({"t": 19.5, "what": "gatekeeper", "gk": 2, "running": true}));
    assert_eq!(judged(&lines), [Rule::Membership(MembershipRule::AliveDetected)]);
}

#[test]
fn a_verdict_on_its_way_may_come_once_and_a_second_one_is_found() {
    // A moment's cut that begins a verdict: it comes after the way is back, and is taken back.
    let moment = |again: bool| {
        let mut lines = sound();
        for (at, groups) in [(20.0, [0, 1, 1, 1]), (21.5, [0, 0, 0, 0])] {
            let place = lines.iter().position(|line| t(line) > at).unwrap();
            lines.insert(place, json!({"t": at, "what": "groups", "groups": groups}));
        }
        for line in &mut lines {
            let gone = (22.5..23.5).contains(&t(line)) || again && (24.5..25.5).contains(&t(line));
            if gone && line["what"] == "states" && line["gk"] == 1 {
                known(line, 0, 0.0);
            }
        }
        judged(&lines)
    };
    assert_eq!(moment(false), []);
    assert_eq!(moment(true), [Rule::Membership(MembershipRule::AliveDetected)]);
}

#[test]
fn a_gatekeeper_that_nobody_reaches_may_count_on_nobody() {
    let cut = json!({"t": 20.0, "what": "groups", "groups": [0, 1, 1, 1]});
    let known_to_all = |line: &mut Value, own: bool| {
        known(line, 0, 24.0);
        if own && line["gk"] == 0 && t(line) > 22.0 {
            *line = states(t(line), 0, &[]);
        }
    };
    assert_eq!(with(cut.clone(), |line| known_to_all(line, true)), []);
    let proud = with(cut, |line| known_to_all(line, false));
    assert!(proud.contains(&Rule::Membership(MembershipRule::ReachabilityTrue)), "{proud:?}");
}

#[test]
fn a_gatekeeper_that_reaches_nobody_may_count_on_nobody() {
    let mut lines = sound();
    for to in 1..SIZE {
        lines.insert(2, json!({"t": 0.5, "what": "blocked", "from": 0, "to": to, "blocked": true}));
    }
    assert!(judged(&lines).contains(&Rule::Membership(MembershipRule::ReachabilityTrue)));
}

#[test]
fn a_way_that_is_broken_one_way_leaves_those_in_reach_that_others_pass_on() {
    let blocked = json!({"t": 20.0, "what": "blocked", "from": 0, "to": 1, "blocked": true});
    assert_eq!(with(blocked.clone(), |_| {}), []);
    let lost = with(blocked, |line| {
        if line["gk"] == 1 {
            known(line, 0, 40.0)
        }
    });
    assert_eq!(lost, [Rule::Membership(MembershipRule::AliveDetected)]);
}

#[test]
fn one_that_was_away_must_begin_anew() {
    let paused = |incarnation: u64| {
        let mut lines = sound();
        for line in &mut lines[2..] {
            if line["gk"] == 2 && (20.0..31.0).contains(&t(line)) {
                *line = Value::Null;
            } else if line["gk"] == 2 && t(line) > 31.0 {
                line["belief"]["incarnation"] = json!(incarnation);
            } else if (25.0..31.0).contains(&t(line)) {
                known(line, 2, 25.0);
            }
        }
        lines.retain(|line| !line.is_null());
        for (at, paused) in [(20.0, true), (31.0, false)] {
            let place = lines.iter().position(|line| t(line) > at).unwrap();
            lines.insert(place, json!({"t": at, "what": "paused", "gk": 2, "paused": paused}));
        }
        judged(&lines)
    };
    assert_eq!(paused(8), []);
    assert_eq!(paused(7), [Rule::Membership(MembershipRule::NewIncarnation)]);
}

#[test]
fn of_two_under_one_number_one_must_say_so() {
    let twin = json!({"t": 20.0, "what": "twin", "gk": 2});
    let superseded = |line: &mut Value| {
        if line["gk"] == 2 && t(line) > 25.0 {
            line["belief"]["superseded"] = json!(true);
        }
    };
    assert_eq!(with(twin.clone(), superseded), []);
    assert_eq!(with(twin, |_| {}), [Rule::Membership(MembershipRule::DuplicateSuperseded)]);
}
