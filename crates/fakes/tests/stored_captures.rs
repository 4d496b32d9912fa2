//! Guards against renames that make captures stored by earlier versions unreadable: a line of each kind, as version 0.1
//! wrote it, is read and written back unchanged.

use serde_json::Value;
use std::collections::BTreeSet;
use weirusher_fakes::{CaptureEvent, CaptureRecord, ClientOutcome, PlanLimits};

const STORED: &str = include_str!("captures/stored.jsonl");

/// The kinds of lines that a capture may have.
const KINDS: [&str; 26] = [
    "added",
    "answer",
    "ask",
    "begin",
    "blocked",
    "datagram",
    "day",
    "emptied",
    "fault",
    "final",
    "gatekeeper",
    "got",
    "groups",
    "knows",
    "paused",
    "peers",
    "ran",
    "report",
    "reset",
    "sent",
    "server",
    "states",
    "stopping",
    "told",
    "twin",
    "way",
];

#[test]
fn stored_lines_are_read_and_written_back_unchanged() {
    let mut kinds = BTreeSet::new();
    for (index, line) in STORED.lines().enumerate() {
        let record: CaptureRecord =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("line {}: {error}", index + 1));
        let stored: Value = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_value(&record).unwrap(), stored, "line {}", index + 1);
        kinds.insert(stored["what"].as_str().unwrap().to_string());
    }
    assert!(KINDS.iter().all(|kind| kinds.contains(*kind)), "{kinds:?}");
}

/// Covers the enumeration values that no line of the stored file contains.
#[test]
fn each_stored_enumeration_value_is_read() {
    let is_read =
        |text: &str| serde_json::from_str::<CaptureRecord>(text).is_ok_and(|r| r.time_seconds == 1.0);
    for end in ["served", "refused", "failed", "broken", "left"] {
        assert!(is_read(&format!(r#"{{"t":1.0,"what":"final","req":1,"end":"{end}"}}"#)), "{end}");
    }
    for door in ["runs", "invalid", "expired", "replayed", "misdirected", "full"] {
        let text = format!(r#"{{"t":1.0,"what":"got","req":1,"server":"a","ticket":"","door":"{door}"}}"#);
        assert!(is_read(&text), "{door}");
    }
    for verdict in ["failed", "bad", "broken"] {
        let text = format!(r#"{{"t":1.0,"what":"answer","req":1,"call":1,"gk":0,"verdict":"{verdict}"}}"#);
        assert!(is_read(&text), "{verdict}");
    }
    for state in ["started", "killed", "fell"] {
        let text = format!(r#"{{"t":1.0,"what":"server","server":"a","state":"{state}"}}"#);
        assert!(is_read(&text), "{state}");
    }
    for fate in ["passed", "doubled", "replayed", "lost", "cut", "forged"] {
        let text = format!(r#"{{"t":1.0,"what":"datagram","from":0,"to":1,"bytes":9,"fate":"{fate}"}}"#);
        assert!(is_read(&text), "{fate}");
    }
}

#[test]
fn stored_fields_are_read_into_their_fields() {
    let first: CaptureRecord = serde_json::from_str(STORED.lines().next().unwrap()).unwrap();
    let CaptureEvent::RunStarted { name, parameters } = first.event else { panic!("{first:?}") };
    assert_eq!((name.as_str(), parameters.gateways), ("all-kinds", 3));
    assert_eq!(parameters.plans, [PlanLimits::from([5.0, 5.0, 0.0, 0.0])]);
    let left = r#"{"t":2.5,"what":"final","req":7,"end":"left"}"#;
    let record: CaptureRecord = serde_json::from_str(left).unwrap();
    let CaptureEvent::RequestFinished { request, outcome } = record.event else { panic!("{record:?}") };
    assert_eq!((record.time_seconds, request, outcome), (2.5, 7, ClientOutcome::ClientClosed));
}
