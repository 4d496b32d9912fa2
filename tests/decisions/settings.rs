//! Invalid settings, invalid requests, and events for unknown requests.

use crate::harness::{Harness, new_request, rejected, settings};
use weirusher::{Event, Gateway, Request, Settings, SettingsError, Status};

fn settings_error(change: impl Fn(&mut Settings)) -> SettingsError {
    let mut settings = settings();
    change(&mut settings);
    Gateway::new(settings, 1).expect_err("invalid settings")
}

#[test]
fn invalid_settings_are_a_typed_error() {
    assert_eq!(settings_error(|s| s.instances = 0), SettingsError::NoInstances);
    assert_eq!(settings_error(|s| s.instance = 2), SettingsError::InstanceOutOfRange);
    assert_eq!(settings_error(|s| s.plans[0].rate = -1.0), SettingsError::InvalidNumber("rate"));
    assert_eq!(settings_error(|s| s.counter_timeout = f64::NAN), SettingsError::InvalidNumber("count_limit"));
    assert_eq!(
        settings_error(|s| s.classes[0].latency_objective = f64::INFINITY),
        SettingsError::InvalidNumber("aim")
    );
}

#[test]
fn invalid_requests_are_rejected_and_unknown_ids_ignored() {
    let mut harness = Harness::new(settings());
    let changes: [fn(&mut Request); 4] =
        [|r| r.class = 9, |r| r.plan = 9, |r| r.units = f64::NAN, |r| r.deadline = 1.0];
    for (i, change) in changes.iter().enumerate() {
        let mut invalid = new_request(&format!("invalid{i}"), harness.now);
        change(&mut invalid);
        let actions = harness.handle(Event::Request(invalid));
        assert_eq!((actions.len(), rejected(&actions)), (1, 1));
    }
    assert!(harness.handle(Event::Timer { token: 999 }).is_empty());
    assert!(harness.counter_response(5, Status::Ok, 1.0).is_empty());
    assert!(harness.end_attempt("never", 0, &"nowhere".into(), Status::Reset).is_empty());
    assert!(harness.handle(Event::ClientGone { request: "never".into() }).is_empty());
}
