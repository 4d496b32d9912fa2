//! Customers that come once: their state is bounded, and no customer gains by being forgotten.

use crate::harness::{Harness, forwarded, new_request, rejected, settings};
use weirusher::{Action, Event, Settings, Status};

/// Maximum number of customers in these tests.
const MAX_CUSTOMERS: u32 = 8;
/// Seconds in which the plan's burst of 20 units refills at 10 units per second.
const REFILL_SECONDS: f64 = 2.0;

fn bounded() -> Settings {
    let mut settings = settings();
    (settings.max_customers, settings.has_counter) = (MAX_CUSTOMERS, false);
    settings
}

fn request(harness: &mut Harness, id: &str, customer: &str) -> Vec<Action> {
    let request = weirusher::Request { customer: customer.into(), ..new_request(id, harness.now) };
    harness.handle(Event::Request(request))
}

/// Sends requests of one customer until one is rejected, and serves them. Returns how many were sent.
fn use_up(harness: &mut Harness, prefix: &str, customer: &str) -> usize {
    for count in 0.. {
        let id = format!("{prefix}-{count}");
        let Some((_, backend)) = forwarded(&request(harness, &id, customer)).pop() else { return count };
        harness.end_attempt(&id, 0, &backend, Status::Ok);
    }
    unreachable!("the quota is bounded")
}

/// Sends and serves one request of each of `count` new customers. Returns how many were rejected.
fn crowd(harness: &mut Harness, prefix: &str, count: u32) -> usize {
    let mut refused = 0;
    for nth in 0..count {
        let id = format!("{prefix}-{nth}");
        let actions = request(harness, &id, &id);
        refused += rejected(&actions);
        for (_, backend) in forwarded(&actions) {
            harness.end_attempt(&id, 0, &backend, Status::Ok);
        }
    }
    refused
}

/// Guards against memory that grows without end under customers that come once.
#[test]
fn beyond_the_limit_new_customers_are_rejected_until_others_are_like_new() {
    let mut harness = Harness::new(bounded());
    assert_eq!(crowd(&mut harness, "a", MAX_CUSTOMERS), 0);
    assert_eq!(crowd(&mut harness, "b", 5), 5, "no customer can be forgotten yet");
    assert_eq!(forwarded(&request(&mut harness, "again", "a-0")).len(), 1, "known customers are served");
    harness.now += REFILL_SECONDS;
    assert_eq!(crowd(&mut harness, "c", MAX_CUSTOMERS - 1), 0, "all but the one with a request in flight");
    assert_eq!(crowd(&mut harness, "d", 1), 1);
}

/// Guards against a quota that is escaped: a customer over its quota is forgotten among others, and starts anew.
#[test]
fn a_customer_gains_nothing_when_others_crowd_the_table() {
    let mut sent = [0, 0];
    for (crowded, total) in [false, true].into_iter().zip(&mut sent) {
        let mut harness = Harness::new(bounded());
        for step in 0..200 {
            harness.now += 0.1;
            // The customer pauses for as long as its quota needs to refill, or for less.
            if step % 30 < 12 {
                *total += use_up(&mut harness, &format!("greedy-{step}"), "greedy");
            }
            if crowded {
                crowd(&mut harness, &format!("crowd-{step}"), 2 * MAX_CUSTOMERS);
            }
        }
    }
    assert!(sent[1] <= sent[0], "{} requests alone, {} in a crowd", sent[0], sent[1]);
    assert!(sent[0] > 100, "the customer uses its quota: {}", sent[0]);
}

/// Sends what a customer may send without a counter for 60 s, with pauses, in a crowd or alone.
fn sent_with_pauses(plan: impl Fn(&mut weirusher::Plan), units: f64, crowded: bool) -> usize {
    let mut settings = bounded();
    plan(&mut settings.plans[0]);
    settings.max_request_units = units;
    let mut harness = Harness::new(settings);
    let mut total = 0;
    for step in 0..600 {
        harness.now += 0.1;
        let id = format!("greedy-{step}");
        if step % 45 == 0 {
            let request =
                weirusher::Request { units, customer: "greedy".into(), ..new_request(&id, harness.now) };
            for (_, backend) in forwarded(&harness.handle(Event::Request(request))) {
                total += 1;
                harness.end_attempt(&id, 0, &backend, Status::Ok);
            }
        }
        // Enough to fill the table, so that it is searched, and to leave a place for the customer afterwards.
        if crowded && step % 45 == 41 {
            crowd(&mut harness, &format!("crowd-{step}"), 5);
        }
    }
    total
}

/// Guards against a share below one request, or a small headroom, that is full again as soon as it is forgotten.
#[test]
fn a_slow_refill_is_not_escaped_in_a_crowd() {
    let small_share = |plan: &mut weirusher::Plan| (plan.rate, plan.burst) = (1.0, 4.0);
    let small_headroom = |plan: &mut weirusher::Plan| {
        (plan.rate, plan.burst) = (10.0, 10.0);
        (plan.ceiling_rate, plan.ceiling_burst) = (10.2, 14.0);
    };
    let shares = [false, true].map(|crowded| sent_with_pauses(small_share, 6.0, crowded));
    let headrooms = [false, true].map(|crowded| sent_with_pauses(small_headroom, 1.0, crowded));
    assert!(
        shares[1] <= shares[0] && headrooms[1] <= headrooms[0],
        "{shares:?} {headrooms:?}, alone and crowded"
    );
    assert!(shares[0] > 0 && headrooms[0] > 0, "{shares:?} {headrooms:?}");
}
