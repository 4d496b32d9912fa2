//! The auditor finds violations: a capture of real traffic has none, and each violation edited into it is found under
//! its rule.

use crate::site::{Site, SiteOptions};
use serde_json::{Value, json};
use weirusher_fakes::BehaviourProfile;
use weirusher_scenarios::{Rule, audit};

/// A capture of real traffic, as one JSON value per line.
async fn capture() -> Vec<Value> {
    let site = Site::start(SiteOptions { service_seconds: 0.005, ..SiteOptions::default() }).await;
    for _ in 0..5 {
        site.send(BehaviourProfile::default()).await;
    }
    site.wait_until_idle().await;
    site.assert_rules_kept();
    site.capture().lines().map(|l| serde_json::from_str(l).unwrap()).collect()
}

fn violated_rules(lines: &[Value]) -> Vec<Rule> {
    let text: String = lines.iter().map(|l| format!("{l}\n")).collect();
    audit(text.as_bytes()).unwrap().violations.iter().map(|violation| violation.rule).collect()
}

/// Index of the first event of a kind.
fn position(lines: &[Value], what: &str) -> usize {
    lines.iter().position(|l| l["what"] == what).unwrap_or_else(|| panic!("no {what}"))
}

/// Rules violated by the capture after a change.
fn violated_after(lines: &[Value], change: impl FnOnce(&mut Vec<Value>)) -> Vec<Rule> {
    let mut lines = lines.to_vec();
    change(&mut lines);
    violated_rules(&lines)
}

fn end_seconds(lines: &[Value]) -> f64 {
    lines.last().unwrap()["t"].as_f64().unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_violation_is_found_under_its_rule() {
    let lines = capture().await;
    assert!(violated_rules(&lines).is_empty());
    assert_lost_requests_are_found(&lines);
    assert_duplicate_effects_are_found(&lines);
    assert_attempts_after_a_drain_are_found(&lines);
    assert_overloads_in_slow_start_are_found(&lines);
    assert_excess_of_quotas_is_found(&lines);
}

/// Rule 1: each request gets exactly one response in time.
fn assert_lost_requests_are_found(lines: &[Value]) {
    let answer = position(lines, "answer");
    let done = position(lines, "final");
    let sent = position(lines, "sent");
    let last = end_seconds(lines);
    let lost = Rule::NoRequestLost;
    assert_eq!(violated_after(lines, |l| drop(l.remove(done))), [lost], "no response");
    assert_eq!(violated_after(lines, |l| l.push(lines[done].clone())), [lost], "two responses");
    assert_eq!(violated_after(lines, |l| drop(l.remove(answer)))[0], lost, "a check that was not answered");
    assert_eq!(violated_after(lines, |l| l.push(lines[answer].clone())), [lost], "a check answered twice");
    let later = |line: &Value| {
        let mut line = line.clone();
        line["t"] = json!(last + 60.0);
        line
    };
    assert_eq!(violated_after(lines, |l| l[done] = later(&lines[done])), [lost], "a response too late");
    assert_eq!(
        violated_after(lines, |l| l.push(later(&lines[sent]))),
        [lost],
        "an attempt after the response"
    );
    assert_eq!(
        violated_after(lines, |l| l[answer]["verdict"] = json!("broken"))[0],
        lost,
        "the connection broke while the gateway was running"
    );
}

/// Rule 2: no request takes effect twice.
fn assert_duplicate_effects_are_found(lines: &[Value]) {
    let answer = position(lines, "answer");
    let done = position(lines, "final");
    let got = position(lines, "got");
    let twice = Rule::NoDuplicateEffect;
    assert_eq!(violated_after(lines, |l| l.push(lines[got].clone())), [twice], "a ticket was used twice");
    assert_eq!(
        violated_after(lines, |l| l[got]["ticket"] = json!("w1.1.x.y")),
        [twice],
        "executed with a ticket that no gateway issued"
    );
    assert_eq!(
        violated_after(lines, |l| l[got]["server"] = json!("127.0.0.1:1")),
        [twice],
        "executed by another backend than the ticket names"
    );
    let again = violated_after(lines, |l| {
        l[0]["rules"]["effects"] = json!(["unsafe"]);
        let (mut allowed, mut run) = (lines[answer].clone(), lines[got].clone());
        allowed["call"] = json!(9999);
        allowed["verdict"]["allowed"]["ticket"] = json!("another");
        run["ticket"] = json!("another");
        let (req, gk) = (&lines[answer]["req"], &lines[answer]["gk"]);
        let ask =
            json!({"t": allowed["t"], "what": "ask", "req": req, "call": 9999, "gk": gk, "further": true});
        l.splice(done..done, [ask, allowed, run]);
    });
    assert_eq!(again, [twice], "a non-idempotent request was executed twice");
}

/// Rule 3: no attempt is sent to a draining backend after the grace period.
fn assert_attempts_after_a_drain_are_found(lines: &[Value]) {
    let answer = position(lines, "answer");
    let server = lines[answer]["verdict"]["allowed"]["server"].clone();
    // Whether rule 3 is violated when lists were sent to the gateway (`told`), or acknowledged by it (`knows`), ten
    // seconds before the rest of the capture.
    let violates_drain = |lists: &[(&str, Value)]| {
        let rules = violated_after(lines, |l| {
            l.retain(|line| line["what"] != "knows" && line["what"] != "told");
            for line in &mut l[1..] {
                line["t"] = json!(line["t"].as_f64().unwrap() + 10.0);
            }
            for (nth, (what, stopped)) in lists.iter().enumerate() {
                l.insert(1 + nth, json!({"t": 0.0, "what": what, "gk": 0, "stopped": stopped}));
            }
        });
        assert!(rules.iter().all(|r| *r == Rule::DrainsRespected), "{rules:?}");
        !rules.is_empty()
    };
    let (stopped, none) = (json!([server]), json!([]));
    assert!(
        violates_drain(&[("knows", stopped.clone())]),
        "allowed for a backend that the gateway knew to be draining"
    );
    assert!(violates_drain(&[
        ("told", stopped.clone()),
        ("knows", stopped.clone()),
        ("told", stopped.clone())
    ]));
    assert!(!violates_drain(&[("told", stopped.clone())]), "a list is not known until it is acknowledged");
    let back = [("told", stopped.clone()), ("knows", stopped.clone()), ("told", none.clone())];
    assert!(!violates_drain(&back), "a newer list without the drain may be used before it is acknowledged");
    let late = [("told", stopped.clone()), ("told", none), ("knows", stopped.clone())];
    assert!(!violates_drain(&late), "an older list may be acknowledged late");
    let again = [&back[..], &[("told", stopped.clone()), ("knows", stopped)]].concat();
    assert!(violates_drain(&again), "the backend stopped again");
}

/// Rule 4: backends are not overloaded during their slow start.
fn assert_overloads_in_slow_start_are_found(lines: &[Value]) {
    let got = position(lines, "got");
    let last = end_seconds(lines);
    let overloaded = json!({"t": last, "what": "server", "server": "127.0.0.1:1", "state": "fell"});
    assert_eq!(violated_after(lines, |l| l.push(overloaded)), [Rule::ColdBackendsNotOverloaded]);
    // At a capacity of 0.01 units per second, each attempt overloads the backend during its slow start.
    let limits = json!({"capacity": 0.01, "from": 0.5, "seconds": 100.0, "multiple": 2.0, "fall": 60.0, "chance": 0.1});
    let rules = violated_after(lines, |l| {
        l[0]["rules"]["cold"] = limits;
        l.insert(1, json!({"t": 0.0, "what": "server", "server": lines[got]["server"], "state": "started"}));
    });
    assert!(!rules.is_empty() && rules.iter().all(|r| *r == Rule::ColdBackendsNotOverloaded), "{rules:?}");
}

/// Rule 5 (ceilings), the overshoot bound of quotas, and the counting of admitted units.
fn assert_excess_of_quotas_is_found(lines: &[Value]) {
    let answer = position(lines, "answer");
    let violated_with_plan = |plan: Value| violated_after(lines, |l| l[0]["rules"]["plans"] = json!([plan]));
    assert!(
        violated_with_plan(json!([1e6, 1e6, 0.01, 1.0])).contains(&Rule::CeilingsRespected),
        "over the ceiling"
    );
    assert!(
        violated_with_plan(json!([0.01, 1.0, 0.0, 0.0])).contains(&Rule::QuotasRespected),
        "over the quota"
    );
    // Five units are admitted within milliseconds from a bucket of one, so the overrun is four. With one gateway and
    // requests of up to 2.5 units, the bound is 2.5 plus half a burst; each restart adds 5, each counter loss 0.5.
    let violated_with = |largest_units: f64, more_events: Vec<Value>| {
        violated_after(lines, |l| {
            (l[0]["rules"]["plans"], l[0]["rules"]["max_units"]) =
                (json!([[1e-9, 1.0, 0.0, 0.0]]), json!(largest_units));
            let first = position(l, "answer") + 1;
            l.splice(first..first, more_events);
        })
    };
    let at = lines[answer]["t"].clone();
    assert_eq!(violated_with(2.5, vec![]), [Rule::QuotasRespected], "one unit more than the bound allows");
    assert!(violated_with(3.5, vec![]).is_empty(), "exactly what the bound allows");
    let emptied = json!({"t": at, "what": "emptied"});
    assert!(
        violated_with(2.5, vec![emptied.clone(), emptied]).is_empty(),
        "two counter losses allow one unit more"
    );
    let process = |running: bool| json!({"t": at, "what": "gatekeeper", "gk": 7, "running": running});
    assert!(
        violated_with(2.5, vec![process(false), process(true)]).is_empty(),
        "a restart allows five units more"
    );
    let uncounted = violated_after(lines, |l| {
        (l[0]["rules"]["counted"], l[0]["rules"]["plans"]) = (json!(true), json!([[1e6, 1.0, 0.0, 0.0]]));
        l.retain(|line| line["what"] != "added");
    });
    assert_eq!(uncounted, [Rule::AdmittedIsCounted], "admitted without being counted");
}

#[test]
fn text_that_is_not_a_capture_is_an_error_with_its_line() {
    let error = audit(&b"{\"t\":0,\"what\":\"emptied\"}\n"[..]).unwrap_err().to_string();
    assert!(error.contains("begin with its scenario"), "{error}");
    let error = audit(&b"rubbish\n"[..]).unwrap_err().to_string();
    assert!(error.contains("line 1"), "{error}");
}
