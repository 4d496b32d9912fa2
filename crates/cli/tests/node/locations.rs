//! Backends that are replaced under their names while keyed requests are in flight.

use crate::support::{Harness, TEST_TIMEOUT, endpoint_list, store_request, unique_id};
use std::time::Duration;
use weirusher_fakes::Reply;

/// Adds a class `pay` whose keys are known within a zone.
fn with_keyed_class(text: &str) -> String {
    let keyed = r#"{"Name":"pay","Effect":"deduplicated","Group":"zone","Window":60.0,"Slo":5.0},{"Effect""#;
    text.replacen(r#"{"Effect""#, keyed, 1)
}

async fn wait_for_list(harness: &Harness, index: u64) {
    let received = harness.discovery.wait_until_list_received(index);
    tokio::time::timeout(TEST_TIMEOUT, received).await.expect("the list is received");
}

/// Sends keyed requests to `s-0`, then changes the list by `change` and resets the connections of `s-0`. Returns the
/// number of attempts that reached `s-1`. `s-0` is in zone `b`, `s-1` in zone `a`.
async fn attempts_in_the_other_zone(change: impl Fn(&str) -> String) -> usize {
    const REQUESTS: usize = 4;
    let mut harness = Harness::start_with_config(2, 256, &[], |text| with_keyed_class(&text)).await;
    let address = |n: usize| harness.backends[n].address;
    let only_first = endpoint_list(3, &[("s-0", address(0), "SERVING")]);
    let only_first = only_first.replace(r#""zone":"a""#, r#""zone":"b""#);
    harness.discovery.set_list(3, only_first);
    wait_for_list(&harness, 3).await;
    harness.backends[0].set_script(|_| Reply::NoReply);
    let mut clients = Vec::new();
    for customer in 0..REQUESTS {
        let mut client = harness.client().await;
        let request = store_request(&unique_id(), "x").replace("X-Qos: store", "X-Qos: pay");
        client.send(&request.replace("b4d65521", &format!("b4d6552{customer}"))).await;
        clients.push(client);
    }
    let sent = harness.backends[0].wait_for_requests(REQUESTS);
    tokio::time::timeout(TEST_TIMEOUT, sent).await.expect("the requests are sent to the first backend");
    let both = endpoint_list(4, &[("s-0", address(0), "SERVING"), ("s-1", address(1), "SERVING")]);
    let both = both.replacen(r#""zone":"a""#, r#""zone":"b""#, 1);
    harness.discovery.set_list(4, change(&both));
    wait_for_list(&harness, 4).await;
    drop(harness.backends.remove(0));
    for client in &mut clients {
        assert!(client.response().await.is_some(), "each request has its response");
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    harness.backends[0].received().len()
}

/// Guards against a request that is executed in two zones: its backend came back in another zone.
#[tokio::test]
async fn a_backend_that_returns_in_another_zone_takes_no_retries_along() {
    let to_zone_a = |list: &str| list.replace(r#""zone":"b""#, r#""zone":"a""#);
    assert_eq!(attempts_in_the_other_zone(to_zone_a).await, 0);
}

/// Guards against a request that is executed in two zones: an entry whose address cannot be read states no zone.
#[tokio::test]
async fn an_unreadable_entry_takes_no_retries_to_another_zone() {
    let unreadable = |list: &str| {
        let list = list.replacen(r#""address":"127"#, r#""address":"x127"#, 1);
        list.replace(r#""snapshot":true"#, r#""snapshot":false"#)
    };
    assert_eq!(attempts_in_the_other_zone(unreadable).await, 0);
}
