//! System calls that fail, or transfer fewer bytes than requested, in ways that Linux documents.

use crate::support::{
    ClientResponse, Harness, REUSE_PAUSE, TEST_TIMEOUT, echo, endpoint_list, request, store_request,
    unique_id,
};
use bytes::Bytes;
use std::time::{Duration, Instant};
use weirusher_fakes::{Reply, counter_script};
use weirusher_fault_shim::{Action, Call, Errno, Fault, FaultHandle, FaultShim};
use weirusher_wire::http1::Request;

/// Sends idempotent and other requests one after another. Each must be served in one attempt, and in less time than a
/// stalled transfer would take.
async fn assert_all_served(harness: &Harness, count: usize) {
    let mut client = harness.client().await;
    for nth in 0..count {
        let (id, began) = (unique_id(), Instant::now());
        let text = if nth.is_multiple_of(2) {
            store_request(&id, &"x".repeat(2000))
        } else {
            request(&id, "iso", 3000)
        };
        let ClientResponse { status, body, .. } = client.exchange(&text).await.expect("a complete response");
        assert_eq!((status, body), (200, format!("done {id}")), "{nth}");
        assert!(began.elapsed() < Duration::from_secs(2), "{nth}: {:?}", began.elapsed());
        assert_eq!(harness.attempts(&id), 1, "{nth}: expected one attempt");
        tokio::time::sleep(REUSE_PAUSE).await;
    }
}

#[tokio::test]
async fn short_reads_and_writes_delay_no_response_and_no_list() {
    for bytes in [1, 7] {
        let shim = FaultShim::new().unwrap();
        // Hedged requests are off, as they would hide a stalled attempt.
        let without_hedging =
            |text: String| text.replace(r#""SecondCopies":true"#, r#""SecondCopies":false"#);
        let harness = Harness::start_with_shim(2, &shim, without_hedging).await;
        let short =
            [Call::Receive, Call::Send].map(|call| shim.inject(Fault::new(call, Action::Short(bytes))));
        assert_all_served(&harness, 10).await;
        // A list that arrives meanwhile is read, and the next poll is sent.
        let serving: Vec<_> = harness.backends.iter().map(|backend| backend.address).collect();
        harness.discovery.set_list(
            3,
            endpoint_list(3, &[("s-0", serving[0], "DRAINING"), ("s-1", serving[1], "SERVING")]),
        );
        tokio::time::timeout(TEST_TIMEOUT, harness.discovery.wait_until_list_received(3))
            .await
            .expect("the list is read");
        let before = harness.backends[0].received().len();
        assert_all_served(&harness, 4).await;
        assert_eq!(harness.backends[0].received().len(), before, "a draining backend got requests");
        assert!(short.into_iter().all(|fault| shim.end(fault) > 100));
    }
}

#[tokio::test]
async fn time_in_the_accept_queue_counts_towards_the_deadline() {
    let shim = FaultShim::new().unwrap();
    let harness = Harness::start_with_shim(1, &shim, |text| text).await;
    let fails = shim.inject(Fault::new(Call::Accept, Action::Fail(Errno::ENFILE)));
    let (id, mut client) = (unique_id(), harness.client().await);
    client.send(&request(&id, "iso", 2500)).await;
    let sent = Instant::now();
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert!(shim.end(fails) > 0);
    assert_eq!(client.response().await.expect("a complete response").status, 200);
    let received = harness.backends[0].received();
    let attempt =
        received.iter().find(|received| received.request.headers.get("x-trace-id") == Some(&id)).unwrap();
    let forwarded =
        attempt.request.headers.get("x-expires-in").unwrap().trim_end_matches('u').parse::<f64>().unwrap();
    let left = 2.5 - (attempt.received_at - sent).as_secs_f64();
    assert!(
        forwarded / 1e6 <= left + 0.15,
        "deadline of {} s forwarded with {left:.3} s left",
        forwarded / 1e6
    );
}

#[tokio::test]
async fn the_creation_of_the_listener_is_retried() {
    for errno in [Errno::ENOBUFS, Errno::ENFILE] {
        let shim = FaultShim::new().unwrap();
        let fails = shim.inject(Fault::new(Call::Socket, Action::Fail(errno)).times(3));
        let harness = Harness::start_with_shim(1, &shim, |text| text).await;
        assert_eq!(shim.end(fails), 3);
        assert_all_served(&harness, 2).await;
    }
}

/// The sockets whose calls fail.
#[derive(Debug, Clone, Copy)]
enum Target {
    Listener,
    Backends,
    Counter,
    Discovery,
    All,
}

/// Calls that may fail temporarily, with the errors to inject and the sockets concerned.
const TEMPORARY_FAULTS: [(Call, Errno, Target); 18] = [
    (Call::Accept, Errno::ECONNABORTED, Target::Listener),
    (Call::Accept, Errno::EINTR, Target::Listener),
    (Call::Accept, Errno::EMFILE, Target::Listener),
    (Call::Accept, Errno::ENFILE, Target::Listener),
    (Call::Accept, Errno::ENOBUFS, Target::Listener),
    (Call::Socket, Errno::ENFILE, Target::All),
    (Call::Socket, Errno::EMFILE, Target::All),
    (Call::Socket, Errno::ENOBUFS, Target::All),
    (Call::Connect, Errno::EADDRNOTAVAIL, Target::Backends),
    (Call::Connect, Errno::ENETUNREACH, Target::Backends),
    (Call::Connect, Errno::EHOSTUNREACH, Target::Backends),
    (Call::Connect, Errno::ETIMEDOUT, Target::Backends),
    (Call::Connect, Errno::EINTR, Target::Backends),
    (Call::Connect, Errno::EADDRNOTAVAIL, Target::Counter),
    (Call::Connect, Errno::ENETUNREACH, Target::Counter),
    (Call::Connect, Errno::EADDRNOTAVAIL, Target::Discovery),
    (Call::Connect, Errno::EHOSTUNREACH, Target::Discovery),
    (Call::EpollWait, Errno::EINTR, Target::All),
];
/// Duration of a fault that is not limited to a single call.
const FAULT_DURATION: Duration = Duration::from_secs(2);
/// Longest time from the end of a fault until a request is served.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(100);
/// Largest share of a core that a process without a busy loop uses, as a debug build under light load.
const MAX_CPU: f64 = 0.6;

fn fault(harness: &Harness, call: Call, errno: Errno, target: Target) -> Vec<Fault> {
    let fault = Fault::new(call, Action::Fail(errno));
    match target {
        Target::Listener => vec![fault.with_local_port(harness.listen.port())],
        Target::Backends => {
            harness.backends.iter().map(|backend| fault.with_peer_port(backend.address.port())).collect()
        }
        Target::Counter => vec![fault.with_peer_port(harness.counter.address.port())],
        Target::Discovery => vec![fault.with_peer_port(harness.discovery.address().port())],
        Target::All => vec![fault],
    }
}

/// Seconds of processor time that a process has used.
fn cpu_seconds(harness: &Harness) -> f64 {
    let stat = procfs::process::Process::new(harness.child.id() as i32).unwrap().stat().unwrap();
    (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64
}

fn descriptors(harness: &Harness) -> usize {
    procfs::process::Process::new(harness.child.id() as i32).unwrap().fd_count().unwrap()
}

/// Clients send requests on new and reused connections until `stop` is set. Each must get its response in time. Returns
/// the number of requests.
async fn send_until_stopped(harness: &Harness, stop: &std::sync::atomic::AtomicBool, deadline: u64) -> usize {
    let client = async |nth: usize| {
        let mut sent = 0;
        let mut connection = harness.client().await;
        while !stop.load(std::sync::atomic::Ordering::Relaxed) {
            let (id, began) = (unique_id(), Instant::now());
            let text = if nth.is_multiple_of(2) {
                store_request(&id, "x").replace("3000m", &format!("{deadline}m"))
            } else {
                request(&id, "iso", deadline)
            };
            if sent % 2 == 0 {
                connection = harness.client().await;
            }
            let answer = connection.exchange(&text).await;
            let ClientResponse { status, body, .. } = answer.expect("a complete response");
            assert!(matches!(status, 200 | 429 | 502 | 503), "{status}");
            assert!(status != 200 || body == format!("done {id}"), "{body}");
            let took = began.elapsed().as_millis() as u64;
            assert!(took <= deadline + 500, "{took} ms");
            if nth.is_multiple_of(2) {
                assert!(harness.attempts(&id) <= 1, "a request that is not idempotent was retried");
            }
            sent += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        sent
    };
    futures::future::join_all((0..6).map(client)).await.into_iter().sum()
}

/// Waits until one of the faults has been injected into a call.
async fn wait_until_injected(shim: &FaultShim, faults: &[FaultHandle]) {
    while !faults.iter().any(|fault| shim.changed_calls(*fault) > 0) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Injects a fault under load. No response may be lost, there must be no busy loop and no leaked descriptor, and
/// requests must be served right after the end of the fault.
async fn check_fault(call: Call, errno: Errno, target: Target, once: bool) {
    let shim = FaultShim::new().unwrap();
    let harness = Harness::start_with_shim(3, &shim, |text| text).await;
    if let Target::Backends | Target::All = target {
        // Backends close the connection after each response, so that each attempt opens a new one.
        let closing = |request: &Request| match echo(request) {
            Reply::Bytes(bytes) => Reply::BytesThenClose(bytes),
            other => other,
        };
        harness.backends.iter().for_each(|backend| backend.set_script(closing));
    }
    let stop = std::sync::atomic::AtomicBool::new(false);
    let load = send_until_stopped(&harness, &stop, 3500);
    let fault_under_load = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (descriptors, cpu, began) = (descriptors(&harness), cpu_seconds(&harness), Instant::now());
        let faults = fault(&harness, call, errno, target).into_iter();
        // A wait that is interrupted every time never returns an event, which is not a temporary fault.
        let times = if once { 1 } else { 50 };
        let limited = once || call == Call::EpollWait;
        let faults: Vec<_> =
            faults.map(|fault| shim.inject(if limited { fault.times(times) } else { fault })).collect();
        if let Target::Counter | Target::Discovery = target {
            // The gateway connects again only if a connection ends, so these servers end theirs.
            harness.counter.set_script(|_| Reply::Close);
            harness.discovery.stop_answering();
        }
        if once {
            let injected = wait_until_injected(&shim, &faults);
            let called = tokio::time::timeout(TEST_TIMEOUT, injected).await;
            called.unwrap_or_else(|_| panic!("the call was not made: {call:?} {errno:?} {target:?}"));
        } else {
            tokio::time::sleep(FAULT_DURATION).await;
        }
        let hit: u64 = faults.into_iter().map(|fault| shim.end(fault)).sum();
        harness.counter.set_script(counter_script());
        harness.discovery.resume_answering();
        assert!(hit > 0, "the fault was not injected: {call:?} {errno:?} {target:?}");
        let busy = (cpu_seconds(&harness) - cpu) / began.elapsed().as_secs_f64();
        // The system counts processor time in hundredths of a second, too coarse for a single failure.
        assert!(once || busy < MAX_CPU, "{busy:.2} cores, {hit} calls: {call:?} {errno:?} {target:?}");
        (descriptors, Instant::now())
    };
    let recovery = async {
        let (descriptors, ended) = fault_under_load.await;
        let mut client = harness.client().await;
        while client.exchange(&request(&unique_id(), "iso", 3000)).await.expect("a complete response").status
            != 200
        {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let took = ended.elapsed();
        tokio::time::sleep(Duration::from_millis(200)).await;
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        (descriptors, took)
    };
    let ((before, took), sent) = tokio::join!(recovery, load);
    assert!(took <= MAX_RECOVERY_TIME, "served again after {took:?}: {call:?} {errno:?} {target:?}");
    assert!(sent > 20, "{sent} requests");
    let no_leak = tokio::time::timeout(TEST_TIMEOUT, wait_until_descriptors_closed(&harness, before)).await;
    no_leak.unwrap_or_else(|_| panic!("a descriptor was leaked: {call:?} {errno:?} {target:?}"));
}

/// Waits until the process has no more descriptors than before. The clients have closed their connections, so only the
/// process's own descriptors and its connections to the servers are left.
async fn wait_until_descriptors_closed(harness: &Harness, descriptors_before: usize) {
    while descriptors(harness) > descriptors_before {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn check_all_faults(once: bool) {
    // A few at a time, as each has its own gateway process and clients.
    for faults in TEMPORARY_FAULTS.chunks(6) {
        let checks = faults.iter().map(async |(call, errno, target)| {
            check_fault(*call, *errno, *target, once).await;
        });
        futures::future::join_all(checks).await;
    }
}

#[tokio::test]
async fn a_call_that_fails_once_loses_no_response() {
    check_all_faults(true).await;
}

#[tokio::test]
async fn a_call_that_fails_for_two_seconds_loses_no_response() {
    check_all_faults(false).await;
}

/// The connection breaks after the last byte of the request was sent.
#[tokio::test]
async fn a_sent_non_idempotent_request_is_not_retried() {
    for errno in [Errno::ETIMEDOUT, Errno::EHOSTUNREACH] {
        let shim = FaultShim::new().unwrap();
        let harness = Harness::start_with_shim(3, &shim, |text| text).await;
        let breaks = Action::Translate(Errno::ECONNRESET, errno);
        let break_connections_to =
            |port: u16| shim.inject(Fault::new(Call::Receive, breaks).with_peer_port(port));
        let faults: Vec<_> =
            harness.backends.iter().map(|backend| break_connections_to(backend.address.port())).collect();
        harness
            .backends
            .iter()
            .for_each(|backend| backend.set_script(|_| Reply::BytesThenReset(Bytes::new())));
        let mut client = harness.client().await;
        for _ in 0..3 {
            let (unsafe_id, began) = (unique_id(), Instant::now());
            let text = store_request(&unsafe_id, "x").replace("3000m", "1000m");
            let ClientResponse { status, .. } = client.exchange(&text).await.expect("a complete response");
            assert!(status == 502 && began.elapsed() < Duration::from_millis(1500), "{status} {errno}");
            assert_eq!(harness.attempts(&unsafe_id), 1, "{errno}");
        }
        // Idempotent requests are retried, also while connections to the counter break.
        let counter = break_connections_to(harness.counter.address.port());
        harness.counter.set_script(|_| Reply::BytesThenReset(Bytes::new()));
        harness.backends[1].set_script(echo);
        harness.backends[2].set_script(echo);
        let (safe_id, customer) = (unique_id(), "00000000b4d65999");
        let text = request(&safe_id, "iso", 3000).replace("00000000b4d65521", customer);
        assert_eq!(client.exchange(&text).await.expect("a complete response").status, 200, "{errno}");
        let hit: u64 = faults.into_iter().map(|fault| shim.end(fault)).sum();
        assert!(hit >= 3 && shim.end(counter) > 0, "{hit}");
    }
}
