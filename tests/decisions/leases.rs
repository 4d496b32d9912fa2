//! Leases: which requests are admitted and rejected, also when the counter fails or loses its data.

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
        "the first request is sent at once, and the counter is called for a lease"
    );
}

/// The burst is granted once; requests beyond it are rejected without a call to the counter.
#[test]
fn the_burst_is_granted_once() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    assert_eq!(counter.serve_many(&mut harness, "a", 60), 20, "exactly the burst is granted");
    let actions = harness.request("b");
    assert_eq!(
        (rejected(&actions), counter_calls(&actions).len()),
        (1, 0),
        "no call is made while the level is known to be empty"
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
    assert!((18..=21).contains(&sent), "{sent} sent with a burst of 20, of which one unit may be uncounted");
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
    assert!((110..=124).contains(&sent), "{sent} sent; a burst of 20 and 10 per second for 10 s allow 120");
}

#[test]
fn a_counter_that_lost_its_data_grants_no_second_burst() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    counter.serve_many(&mut harness, "a", 60);
    counter.0.clear();
    harness.now += 0.3;
    let sent = counter.serve_many(&mut harness, "b", 60);
    assert!(sent <= 4, "{sent} sent after 0.3 s at 10 per second");
    assert!(counter.sum() > 15.0, "the units used before are restored on the count");
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
    // The last known level was 0, so the fallback limit starts empty: a spent burst is not granted again.
    assert!((22..=26).contains(&sent), "{sent} sent in 5 s; half of 10 per second allows 25");
}

#[test]
fn an_unspent_lease_expires_with_its_window() {
    let (mut harness, mut counter) = (Harness::new(settings()), FakeCounter::default());
    counter.serve_many(&mut harness, "a", 15);
    harness.now += 30.0; // Windows are eight seconds long here.
    let actions = harness.request("b");
    assert_eq!(counter_calls(&actions).len(), 1, "the old lease has expired, so a new one is requested");
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
    assert_eq!(
        (forwarded(&actions).len(), rejected(&actions)),
        (2, 4),
        "one of two gateways allows two of four attempts"
    );
    let (id, backend) = forwarded(&actions).remove(0);
    harness.end_attempt(&id, 0, &backend, Status::Ok);
    assert_eq!(
        forwarded(&counter.request(&mut harness, "k")).len(),
        1,
        "one more is sent after one has ended"
    );
}

/// Guards against inferring an outage from responses whose total cannot be read: their units were counted.
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
        "{unreadable} calls with unreadable responses, {late} calls without responses"
    );
}

/// Creates one gateway of a fleet of 100, in which a customer's share is below one request, and a function that
/// sends a request of a given customer.
fn gateway_with_fractional_shares() -> (Harness, impl Fn(&mut Harness, &str) -> Vec<Action>) {
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
    let (mut harness, send_request) = gateway_with_fractional_shares();
    // A second unit would stay unused, as the customer's next request goes through another gateway.
    assert_eq!(counter_calls(&send_request(&mut harness, "c"))[0].1, 1.0);
}

/// Lets customers spend units without a lease and, after `seconds`, sends a request of a new customer. Returns the
/// units that its call to the counter adds beyond the one requested, and the actions that follow the response.
fn uncounted_after(seconds: f64) -> (f64, Vec<Action>) {
    let ((mut harness, send_request), mut counter) =
        (gateway_with_fractional_shares(), FakeCounter::default());
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

/// A call that also reports uncounted units does not cause the rejection of the request it is made for.
#[test]
fn reporting_uncounted_units_does_not_reject_the_request() {
    let (uncounted, actions) = uncounted_after(5.0);
    assert!(uncounted > 2.0, "only {uncounted} units spent without a lease are reported");
    assert_eq!((forwarded(&actions).len(), rejected(&actions)), (1, 0));
}

/// Uncounted units are not reported once the refill has covered them.
#[test]
fn uncounted_units_covered_by_the_refill_are_dropped() {
    let (uncounted, _) = uncounted_after(30.0);
    assert!(uncounted < 0.3, "{uncounted} units reported after seven times the refill time of a burst");
}
