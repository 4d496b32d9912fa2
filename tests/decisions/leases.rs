//! Leases: what is granted and rejected, also when the counter fails or loses its data.

use crate::harness::{FakeCounter, Harness, counter_calls, forwarded, new_request, plan, rejected, settings};
use weirusher::{Action, Event, Status, Time};

/// Moves the clock to `at` and fires the timers that are due by then.
fn advance(harness: &mut Harness, counter: &mut FakeCounter, at: Time) {
    let timers = std::mem::take(&mut harness.actions);
    harness.now = at;
    for timer in timers {
        if let Action::SetTimer { token, at: due } = timer
            && due <= at
        {
            let actions = harness.handle(Event::Timer { token });
            counter.respond(harness, &actions);
        }
    }
}

#[test]
fn a_new_customer_starts_on_the_fallback_limit() {
    let mut harness = Harness::new(settings());
    let actions = harness.request("j");
    assert_eq!(
        (forwarded(&actions).len(), counter_calls(&actions).len()),
        (1, 1),
        "sent at once, beside a call for a lease"
    );
}

#[test]
fn the_burst_is_granted_once_and_the_rest_rejected_without_a_call() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    assert_eq!(counter.serve_many(&mut harness, "a", 60), 20, "the burst, to the unit");
    let actions = harness.request("b");
    assert_eq!(
        (rejected(&actions), counter_calls(&actions).len()),
        (1, 0),
        "a level known to be empty needs no call"
    );
    assert!(matches!(actions[0], Action::Reject { retry_after, .. } if retry_after > 0.0));
}

#[test]
fn two_gateways_share_one_burst() {
    let (mut one, mut two, mut counter) =
        (Harness::new(settings()), Harness::new(settings()), FakeCounter::default());
    let mut sent = 0;
    for i in 0..40 {
        sent += counter.serve_many(&mut one, &format!("a{i}-"), 1);
        sent += counter.serve_many(&mut two, &format!("b{i}-"), 1);
    }
    assert!((18..=21).contains(&sent), "{sent} sent of a burst of 20 (one unit may be uncounted)");
}

#[test]
fn a_new_window_grants_no_second_burst() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    let mut sent = 0;
    for step in 0..100 {
        let at = 100.0 + f64::from(step) * 0.1;
        advance(&mut harness, &mut counter, at);
        sent += counter.serve_many(&mut harness, &format!("s{step}-"), 4);
    }
    assert!((110..=124).contains(&sent), "{sent} sent; burst 20 and 10 a second for 10 s make 120");
}

#[test]
fn a_counter_that_lost_its_data_grants_no_second_burst() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    counter.serve_many(&mut harness, "a", 60);
    counter.0.clear();
    harness.now += 0.3;
    let sent = counter.serve_many(&mut harness, "b", 60);
    assert!(sent <= 4, "{sent} sent after 0.3 s at 10 a second");
    assert!(counter.sum() > 15.0, "what had been used is restored on the count");
}

#[test]
fn a_lost_response_of_the_counter_leaves_no_request_waiting() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    counter.serve_many(&mut harness, "a", 60);
    harness.now += 1.0;
    let actions = harness.request("lost");
    let (name, _) = counter_calls(&actions)[0];
    let actions = harness.counter_response(name, Status::Timeout, 0.0);
    assert_eq!(forwarded(&actions).len() + rejected(&actions), 1);
}

#[test]
fn an_unavailable_counter_leaves_an_even_share() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    counter.serve_many(&mut harness, "a", 60);
    let mut sent = 0;
    for step in 1..=50 {
        harness.now = 100.0 + f64::from(step) * 0.1;
        let mut actions = harness.request(&format!("q{step}"));
        for (name, _) in counter_calls(&actions) {
            actions.extend(harness.counter_response(name, Status::Timeout, 0.0));
        }
        for (id, backend) in forwarded(&actions) {
            sent += 1;
            harness.end_attempt(&id, 0, &backend, Status::Ok);
        }
    }
    // The last known level was empty, so the share begins empty: a burst that is spent is not granted again.
    assert!((22..=26).contains(&sent), "{sent} sent in 5 s; half of 10 a second makes 25");
}

#[test]
fn an_unspent_lease_expires_with_its_window() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    counter.serve_many(&mut harness, "a", 15);
    harness.now += 30.0; // Windows are eight seconds long here.
    let actions = harness.request("b");
    assert_eq!(counter_calls(&actions).len(), 1, "an old lease covers nothing: a new one is requested");
}

#[test]
fn a_gateway_keeps_an_even_share_of_a_plans_concurrency_limit() {
    let mut settings = settings();
    settings.plans[0].max_concurrent = 4;
    let (mut harness, mut counter) = (Harness::new(settings), FakeCounter::default());
    let mut actions = Vec::new();
    for i in 0..6 {
        actions.extend(counter.request(&mut harness, &format!("j{i}")));
    }
    assert_eq!((forwarded(&actions).len(), rejected(&actions)), (2, 4), "two of four at one of two gateways");
    let (id, backend) = forwarded(&actions).remove(0);
    harness.end_attempt(&id, 0, &backend, Status::Ok);
    assert_eq!(forwarded(&counter.request(&mut harness, "k")).len(), 1, "one has ended");
}

/// Guards against an outage that is inferred from responses whose total cannot be read: those were counted.
#[test]
fn an_unreadable_response_of_the_counter_is_no_outage() {
    let calls_after = |status| {
        let mut harness = Harness::new(settings());
        for i in 0..40 {
            harness.now += 0.02;
            for (name, _) in counter_calls(&harness.request(&format!("j{i}"))) {
                harness.counter_response(name, status, 0.0);
            }
        }
        counter_calls(&harness.actions).len()
    };
    let (unreadable, late) = (calls_after(Status::Error), calls_after(Status::Timeout));
    assert!(
        unreadable > 2 * late && late > 0,
        "{unreadable} calls where responses are unreadable, {late} where none comes"
    );
}

/// One of many gateways, where a share is under one request, and a function that sends a request of a
/// customer.
fn one_of_many() -> (Harness, impl Fn(&mut Harness, &str) -> Vec<Action>) {
    let mut settings = settings();
    (settings.instances, settings.plans[0]) = (100, plan(1.0, 4.0));
    let send_request = |harness: &mut Harness, customer: &str| {
        let mut request = new_request(&format!("{customer}-{}", harness.now), harness.now);
        (request.customer_instances, request.customer) = (100, customer.into());
        harness.handle(Event::Request(request))
    };
    (Harness::new(settings), send_request)
}

#[test]
fn a_call_for_a_fractional_share_requests_no_spare_units() {
    let (mut harness, send_request) = one_of_many();
    // A second unit would stay unused: the customer's next request comes through another gateway.
    assert_eq!(counter_calls(&send_request(&mut harness, "c"))[0].1, 1.0);
}

/// Units beyond its one that the call of a new customer adds, so many seconds after others spent without a
/// lease, and the actions that its response leads to.
fn uncounted_after(seconds: f64) -> (f64, Vec<Action>) {
    let ((mut harness, send_request), mut counter) = (one_of_many(), FakeCounter::default());
    for n in 0..30 {
        let mut actions = send_request(&mut harness, &format!("c{n}"));
        actions.extend(counter.respond(&mut harness, &actions.clone()));
        for (id, backend) in forwarded(&actions) {
            harness.end_attempt(&id, 0, &backend, Status::Ok);
        }
    }
    harness.now += seconds;
    let actions = send_request(&mut harness, "late");
    let uncounted = counter_calls(&actions)[0].1 - 1.0;
    (uncounted, counter.respond(&mut harness, &actions))
}

#[test]
fn uncounted_units_do_not_reject_the_request_whose_call_reports_them() {
    let (uncounted, actions) = uncounted_after(5.0);
    assert!(uncounted > 2.0, "{uncounted}: the call reports what was spent without a lease");
    assert_eq!((forwarded(&actions).len(), rejected(&actions)), (1, 0));
}

#[test]
fn uncounted_units_are_forgotten_when_the_refill_has_paid_for_them() {
    let (uncounted, _) = uncounted_after(30.0);
    assert!(uncounted < 0.3, "{uncounted} reported, seven times a burst's refill later");
}
