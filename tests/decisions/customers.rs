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
