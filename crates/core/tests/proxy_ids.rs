//! Requests that come again under their id.

use weirusher::{
    Class, DedupScope, Endpoint, EndpointListKind, Idempotency, LoadReport, Plan, RequestId, Settings, Status,
};
use weirusher_core::{IncomingRequest, ProxyCore, ProxyOutput, RequestStatus};

const START: f64 = 1_000_000.0;
/// Longest deadline of the classes, in seconds.
const DEADLINE: f64 = 8.0;
const SAFE: usize = 0;
const UNSAFE: usize = 1;
const KEYED: usize = 2;

fn proxy() -> ProxyCore {
    let class = |idempotency| {
        let mut class = Class::default();
        (class.idempotency, class.deadline, class.latency_objective) = (idempotency, DEADLINE, DEADLINE);
        class
    };
    let mut settings = Settings::default();
    settings.plans = vec![Plan::default()];
    settings.classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
        class(Idempotency::Keyed { scope: DedupScope::Zone, window: 1.0 }),
    ];
    let mut proxy = ProxyCore::new(settings, 7, START).unwrap();
    proxy.handle_endpoint_list(START, EndpointListKind::Snapshot, vec![Endpoint::warm("w0")]);
    proxy
}

/// Enters a request, and returns whether it was accepted and has an attempt.
fn request(proxy: &mut ProxyCore, now: f64, id: &str, class: usize) -> (RequestStatus, bool) {
    let status = proxy.handle_request(
        now,
        IncomingRequest {
            id: id.into(),
            customer: "c".into(),
            plan: 0,
            class,
            units: 1.0,
            time_budget: 3.0,
            customer_instances: 1,
            first_instance: 0,
            is_retry: false,
        },
    );
    let mut outputs = Vec::new();
    proxy.take_outputs(&mut outputs);
    (status, outputs.iter().any(|output| matches!(output, ProxyOutput::Forward(_))))
}

fn end(proxy: &mut ProxyCore, now: f64, id: &str, status: Status) {
    let id: RequestId = id.into();
    proxy.handle_attempt_ended(now, &id, 0, status, LoadReport::default());
}

/// Guards against a second execution: the client of a request left while it ran, and its id came again.
#[test]
fn an_id_that_may_have_run_is_not_accepted_again_after_its_client_left() {
    for class in [UNSAFE, KEYED] {
        let mut proxy = proxy();
        assert_eq!(request(&mut proxy, START, "j", class), (RequestStatus::Accepted, true));
        proxy.handle_client_gone(START + 0.1, &"j".into());
        assert_eq!(request(&mut proxy, START + 0.2, "j", class), (RequestStatus::Duplicate, false));
        assert_eq!(
            request(&mut proxy, START + 0.1 + 0.99 * DEADLINE, "j", class).0,
            RequestStatus::Duplicate
        );
        assert_eq!(proxy.open_requests(), 0);
        let later = START + 0.2 + DEADLINE;
        assert_eq!(request(&mut proxy, later, "j", class), (RequestStatus::Accepted, true), "forgotten");
    }
}

/// Guards against a second execution: a response was lost with its connection, and the id came again.
#[test]
fn an_id_that_has_its_response_is_not_accepted_again() {
    let mut proxy = proxy();
    request(&mut proxy, START, "j", UNSAFE);
    end(&mut proxy, START + 0.1, "j", Status::Ok);
    assert_eq!(request(&mut proxy, START + 0.2, "j", UNSAFE), (RequestStatus::Duplicate, false));
}

#[test]
fn an_id_that_did_not_run_or_may_run_twice_is_accepted_again() {
    let mut proxy = proxy();
    request(&mut proxy, START, "safe", SAFE);
    proxy.handle_client_gone(START + 0.1, &"safe".into());
    assert_eq!(request(&mut proxy, START + 0.2, "safe", SAFE), (RequestStatus::Accepted, true));
    // Its only backend refuses the connection, so the request certainly did not run.
    request(&mut proxy, START + 0.3, "unsent", UNSAFE);
    end(&mut proxy, START + 0.4, "unsent", Status::ConnectFailed);
    assert_eq!(proxy.open_requests(), 1, "the safe request is open");
    assert_eq!(request(&mut proxy, START + 0.5, "unsent", UNSAFE).0, RequestStatus::Accepted);
}
