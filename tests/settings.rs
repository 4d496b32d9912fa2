//! Impossible settings and odd but legal events.

mod common;
use common::*;
use weirusher::*;

fn refused_settings(change: impl Fn(&mut Settings)) -> SettingsError {
    let mut s = settings();
    change(&mut s);
    Gateway::new(s, 1).expect_err("impossible settings")
}

#[test]
fn impossible_settings_are_a_typed_error() {
    assert_eq!(refused_settings(|s| s.instances = 0), SettingsError::NoInstances);
    assert_eq!(refused_settings(|s| s.instance = 2), SettingsError::InstanceOutOfRange);
    assert_eq!(refused_settings(|s| s.plans[0].rate = -1.0), SettingsError::InvalidNumber("rate"));
    assert_eq!(
        refused_settings(|s| s.counter_timeout = f64::NAN),
        SettingsError::InvalidNumber("count_limit")
    );
    assert_eq!(
        refused_settings(|s| s.classes[0].latency_objective = f64::INFINITY),
        SettingsError::InvalidNumber("aim")
    );
}

#[test]
fn odd_events_end_the_request_once_and_send_nothing() {
    let mut rig = Rig::new(settings());
    for (i, change) in [
        (|r: &mut Request| r.class = 9) as fn(&mut Request),
        |r| r.plan = 9,
        |r| r.units = f64::NAN,
        |r| r.deadline = 1.0,
    ]
    .iter()
    .enumerate()
    {
        let mut odd = request(&format!("odd{i}"), rig.now);
        change(&mut odd);
        let out = rig.event(Event::Request(odd));
        assert_eq!((out.len(), refused(&out)), (1, 1));
    }
    assert!(rig.event(Event::Timer { token: 999 }).is_empty());
    assert!(rig.counted(5, Status::Ok, 1.0).is_empty());
    assert!(rig.outcome("never", 0, &"nowhere".into(), Status::Reset).is_empty());
    assert!(rig.event(Event::ClientGone { request: "never".into() }).is_empty());
}
