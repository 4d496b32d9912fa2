//! System calls that fail, or transfer less than requested, in the ways that Linux documents.

use crate::support::{ClientResponse, LIMIT, REUSE_PAUSE, Site, echo, id, list, request, store};
use bytes::Bytes;
use std::time::{Duration, Instant};
use weirusher_fakes::{Reply, counting};
use weirusher_fault_shim::{Action, Call, Errno, Fault, FaultShim, Injected};
use weirusher_wire::http1::Request;

/// Sends idempotent and other requests one after another: each is served, and faster than a stalled transfer would allow.
async fn all_served(site: &Site, many: usize) {
    let mut client = site.client().await;
    for nth in 0..many {
        let (id, began) = (id(), Instant::now());
        let text =
            if nth.is_multiple_of(2) { store(&id, &"x".repeat(2000)) } else { request(&id, "iso", 3000) };
        let ClientResponse { status, body, .. } = client.exchange(&text).await.expect("a complete response");
        assert_eq!((status, body), (200, format!("done {id}")), "{nth}");
        assert!(began.elapsed() < Duration::from_secs(2), "{nth}: {:?}", began.elapsed());
        assert_eq!(site.attempts(&id), 1, "{nth}: one attempt");
        tokio::time::sleep(REUSE_PAUSE).await;
    }
}

#[tokio::test]
async fn short_reads_and_writes_change_nothing() {
    for bytes in [1, 7] {
        let shim = FaultShim::new().unwrap();
        // No hedged request may hide a stalled one.
        let patient = |text: String| text.replace(r#""SecondCopies":true"#, r#""SecondCopies":false"#);
        let site = Site::with_shim(2, &shim, patient).await;
        let short =
            [Call::Receive, Call::Send].map(|call| shim.inject(Fault::new(call, Action::Short(bytes))));
        all_served(&site, 10).await;
        // A list that arrives meanwhile is read, and the next one is polled for.
        let serving: Vec<_> = site.backends.iter().map(|backend| backend.address).collect();
        site.discovery
            .set_list(3, list(3, &[("s-0", serving[0], "DRAINING"), ("s-1", serving[1], "SERVING")]));
        tokio::time::timeout(LIMIT, site.discovery.wait_until_list_received(3))
            .await
            .expect("the list is read");
        let before = site.backends[0].received().len();
        all_served(&site, 4).await;
        assert_eq!(site.backends[0].received().len(), before, "nothing new at a draining backend");
        assert!(short.into_iter().all(|fault| shim.end(fault) > 100));
    }
}

#[tokio::test]
async fn time_in_the_accept_queue_counts_towards_the_deadline() {
    let shim = FaultShim::new().unwrap();
    let site = Site::with_shim(1, &shim, |text| text).await;
    let fails = shim.inject(Fault::new(Call::Accept, Action::Fail(Errno::ENFILE)));
    let (id, mut client) = (id(), site.client().await);
    client.send(&request(&id, "iso", 2500)).await;
    let sent = Instant::now();
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert!(shim.end(fails) > 0);
    assert_eq!(client.response().await.expect("a complete response").status, 200);
    let received = site.backends[0].received();
    let attempt =
        received.iter().find(|received| received.request.headers.get("x-trace-id") == Some(&id)).unwrap();
    let notified =
        attempt.request.headers.get("x-expires-in").unwrap().trim_end_matches('u').parse::<f64>().unwrap();
    let left = 2.5 - (attempt.received_at - sent).as_secs_f64();
    assert!(notified / 1e6 <= left + 0.15, "notified {} s with {left:.3} left", notified / 1e6);
}

#[tokio::test]
async fn a_listener_that_cannot_be_created_for_a_moment_is_created_later() {
    for errno in [Errno::ENOBUFS, Errno::ENFILE] {
        let shim = FaultShim::new().unwrap();
        let fails = shim.inject(Fault::new(Call::Socket, Action::Fail(errno)).times(3));
        let site = Site::with_shim(1, &shim, |text| text).await;
        assert_eq!(shim.end(fails), 3);
        all_served(&site, 2).await;
    }
}

/// Which sockets a failing call is for.
#[derive(Debug, Clone, Copy)]
enum Way {
    Accepting,
    Connecting,
    Counter,
    Discovery,
    Anywhere,
}

/// Each call that may fail for a moment, for each kind of socket that uses it.
const MOMENTARY: [(Call, Errno, Way); 18] = [
    (Call::Accept, Errno::ECONNABORTED, Way::Accepting),
    (Call::Accept, Errno::EINTR, Way::Accepting),
    (Call::Accept, Errno::EMFILE, Way::Accepting),
    (Call::Accept, Errno::ENFILE, Way::Accepting),
    (Call::Accept, Errno::ENOBUFS, Way::Accepting),
    (Call::Socket, Errno::ENFILE, Way::Anywhere),
    (Call::Socket, Errno::EMFILE, Way::Anywhere),
    (Call::Socket, Errno::ENOBUFS, Way::Anywhere),
    (Call::Connect, Errno::EADDRNOTAVAIL, Way::Connecting),
    (Call::Connect, Errno::ENETUNREACH, Way::Connecting),
    (Call::Connect, Errno::EHOSTUNREACH, Way::Connecting),
    (Call::Connect, Errno::ETIMEDOUT, Way::Connecting),
    (Call::Connect, Errno::EINTR, Way::Connecting),
    (Call::Connect, Errno::EADDRNOTAVAIL, Way::Counter),
    (Call::Connect, Errno::ENETUNREACH, Way::Counter),
    (Call::Connect, Errno::EADDRNOTAVAIL, Way::Discovery),
    (Call::Connect, Errno::EHOSTUNREACH, Way::Discovery),
    (Call::Wait, Errno::EINTR, Way::Anywhere),
];
/// How long a call fails, where it does not fail only once.
const LASTING: Duration = Duration::from_secs(2);
/// The longest time from the end of a fault until a request is served.
const SERVING_AGAIN: Duration = Duration::from_millis(100);
/// The most of a core that a process without a busy loop uses, as a debug build under a little load.
const MOST_CPU: f64 = 0.6;

fn fault(site: &Site, call: Call, errno: Errno, way: Way) -> Vec<Fault> {
    let fault = Fault::new(call, Action::Fail(errno));
    match way {
        Way::Accepting => vec![fault.at(site.listen.port())],
        Way::Connecting => site.backends.iter().map(|backend| fault.to(backend.address.port())).collect(),
        Way::Counter => vec![fault.to(site.counter.address.port())],
        Way::Discovery => vec![fault.to(site.discovery.address().port())],
        Way::Anywhere => vec![fault],
    }
}

/// Seconds of processor time that a process has used.
fn cpu_seconds(site: &Site) -> f64 {
    let stat = procfs::process::Process::new(site.child.id() as i32).unwrap().stat().unwrap();
    (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64
}

fn descriptors(site: &Site) -> usize {
    procfs::process::Process::new(site.child.id() as i32).unwrap().fd_count().unwrap()
}

/// Clients send requests on new and kept connections until `stop`; each gets its response in time.
async fn ask_until(site: &Site, stop: &std::sync::atomic::AtomicBool, deadline: u64) -> usize {
    let ask = async |nth: usize| {
        let mut sent = 0;
        let mut kept = site.client().await;
        while !stop.load(std::sync::atomic::Ordering::Relaxed) {
            let (id, began) = (id(), Instant::now());
            let text = if nth.is_multiple_of(2) {
                store(&id, "x").replace("3000m", &format!("{deadline}m"))
            } else {
                request(&id, "iso", deadline)
            };
            if sent % 2 == 0 {
                kept = site.client().await;
            }
            let answer = kept.exchange(&text).await;
            let ClientResponse { status, body, .. } = answer.expect("a complete response");
            assert!(matches!(status, 200 | 429 | 502 | 503), "{status}");
            assert!(status != 200 || body == format!("done {id}"), "{body}");
            let took = began.elapsed().as_millis() as u64;
            assert!(took <= deadline + 500, "{took} ms");
            if nth.is_multiple_of(2) {
                assert!(site.attempts(&id) <= 1, "an unsafe request is sent once");
            }
            sent += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        sent
    };
    futures::future::join_all((0..6).map(ask)).await.into_iter().sum()
}

/// Waits until one of the faults has changed a call.
async fn until_injected(shim: &FaultShim, faults: &[Injected]) {
    while !faults.iter().any(|fault| shim.injected(*fault) > 0) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// One fault under load: no response is lost, there is no busy loop and no leaked descriptor, and requests are served again
/// at once.
async fn survives(call: Call, errno: Errno, way: Way, once: bool) {
    let shim = FaultShim::new().unwrap();
    let site = Site::with_shim(3, &shim, |text| text).await;
    if let Way::Connecting | Way::Anywhere = way {
        // Each attempt needs a connection of its own.
        let closing = |request: &Request| match echo(request) {
            Reply::Bytes(bytes) => Reply::BytesThenClose(bytes),
            other => other,
        };
        site.backends.iter().for_each(|backend| backend.set_script(closing));
    }
    let stop = std::sync::atomic::AtomicBool::new(false);
    let load = ask_until(&site, &stop, 3500);
    let fault_under_load = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (descriptors, cpu, began) = (descriptors(&site), cpu_seconds(&site), Instant::now());
        let faults = fault(&site, call, errno, way).into_iter();
        // A wait that is always interrupted never returns an event: that is no momentary fault.
        let times = if once { 1 } else { 50 };
        let few = once || call == Call::Wait;
        let faults: Vec<_> =
            faults.map(|fault| shim.inject(if few { fault.times(times) } else { fault })).collect();
        if let Way::Counter | Way::Discovery = way {
            // Connections are opened again only if they end: these servers end theirs.
            site.counter.set_script(|_| Reply::Close);
            site.discovery.stop_answering();
        }
        if once {
            let hit = until_injected(&shim, &faults);
            let called = tokio::time::timeout(LIMIT, hit).await;
            called.unwrap_or_else(|_| panic!("the call is made: {call:?} {errno:?} {way:?}"));
        } else {
            tokio::time::sleep(LASTING).await;
        }
        let hit: u64 = faults.into_iter().map(|fault| shim.end(fault)).sum();
        site.counter.set_script(counting());
        site.discovery.resume_answering();
        assert!(hit > 0, "the fault was injected: {call:?} {errno:?} {way:?}");
        let busy = (cpu_seconds(&site) - cpu) / began.elapsed().as_secs_f64();
        // The system counts in hundredths of a second, too coarse for a single failure.
        assert!(once || busy < MOST_CPU, "{busy:.2} of a core, {hit} calls: {call:?} {errno:?} {way:?}");
        (descriptors, Instant::now())
    };
    let again = async {
        let (descriptors, ended) = fault_under_load.await;
        let mut client = site.client().await;
        while client.exchange(&request(&id(), "iso", 3000)).await.expect("a complete response").status != 200
        {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let took = ended.elapsed();
        tokio::time::sleep(Duration::from_millis(200)).await;
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        (descriptors, took)
    };
    let ((before, took), sent) = tokio::join!(again, load);
    assert!(took <= SERVING_AGAIN, "served again after {took:?}: {call:?} {errno:?} {way:?}");
    assert!(sent > 20, "{sent} requests");
    let no_leak = tokio::time::timeout(LIMIT, settled(&site, before)).await;
    no_leak.unwrap_or_else(|_| panic!("no descriptor is leaked: {call:?} {errno:?} {way:?}"));
}

/// Waits until a process has no more descriptors than before. The clients have closed: what is left is the process's own,
/// and its connections to the servers.
async fn settled(site: &Site, descriptors_before: usize) {
    while descriptors(site) > descriptors_before {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn all_survive(once: bool) {
    // A few at a time: each has processes and clients of its own.
    for some in MOMENTARY.chunks(6) {
        let each = some.iter().map(async |(call, errno, way)| {
            survives(*call, *errno, *way, once).await;
        });
        futures::future::join_all(each).await;
    }
}

#[tokio::test]
async fn a_call_that_fails_once_costs_no_response() {
    all_survive(true).await;
}

#[tokio::test]
async fn a_call_that_fails_for_two_seconds_costs_no_response_and_no_busy_loop() {
    all_survive(false).await;
}

#[tokio::test]
async fn a_request_that_is_not_idempotent_is_never_sent_again_when_its_connection_breaks_after_the_last_byte()
{
    for errno in [Errno::ETIMEDOUT, Errno::EHOSTUNREACH] {
        let shim = FaultShim::new().unwrap();
        let site = Site::with_shim(3, &shim, |text| text).await;
        let dies = Action::Translate(Errno::ECONNRESET, errno);
        let to = |port: u16| shim.inject(Fault::new(Call::Receive, dies).to(port));
        let dying: Vec<_> = site.backends.iter().map(|backend| to(backend.address.port())).collect();
        site.backends.iter().for_each(|backend| backend.set_script(|_| Reply::BytesThenReset(Bytes::new())));
        let mut client = site.client().await;
        for _ in 0..3 {
            let (unsafe_id, began) = (id(), Instant::now());
            let text = store(&unsafe_id, "x").replace("3000m", "1000m");
            let ClientResponse { status, .. } = client.exchange(&text).await.expect("a complete response");
            assert!(status == 502 && began.elapsed() < Duration::from_millis(1500), "{status} {errno}");
            assert_eq!(site.attempts(&unsafe_id), 1, "{errno}");
        }
        // Idempotent requests are retried, and the counter's connections may break too.
        let counter = to(site.counter.address.port());
        site.counter.set_script(|_| Reply::BytesThenReset(Bytes::new()));
        site.backends[1].set_script(echo);
        site.backends[2].set_script(echo);
        let (safe_id, customer) = (id(), "00000000b4d65999");
        let text = request(&safe_id, "iso", 3000).replace("00000000b4d65521", customer);
        assert_eq!(client.exchange(&text).await.expect("a complete response").status, 200, "{errno}");
        let hit: u64 = dying.into_iter().map(|fault| shim.end(fault)).sum();
        assert!(hit >= 3 && shim.end(counter) > 0, "{hit}");
    }
}
