//! Limits of the platform: file descriptors, a single process, kinds of sockets, and the program that the deploy file
//! starts.

use crate::platform::DRAIN_GRACE;
use crate::support::{Client, Harness, delayed_echo, last_attempt_at_draining_backend, request, unique_id};
use object::Endianness;
use object::elf::DT_NEEDED;
use object::read::elf::{Dyn, ElfFile64, ProgramHeader};
use procfs::ProcError;
use procfs::process::{FDTarget, Process};
use std::collections::HashSet;
use std::time::{Duration, Instant};

#[tokio::test]
async fn at_the_connection_limit_silent_connections_are_closed() {
    let harness = Harness::start_with(1, 64, &[]).await;
    let mut silent = Vec::new();
    for _ in 0..60 {
        silent.push(harness.client().await);
    }
    assert_eq!(
        harness.client().await.exchange(&request(&unique_id(), "iso", 10_000)).await.unwrap().status,
        200
    );
}

/// Opens `count` connections one after another, each of which sends one request, gets its response in time, and stays
/// open. There may be more connections than descriptors.
async fn idle_clients(harness: &Harness, count: usize) -> Vec<Client> {
    let deadline = Duration::from_millis(1500);
    let mut idle = Vec::new();
    for nth in 0..count {
        let mut client = harness.client().await;
        let text = request(&unique_id(), "iso", deadline.as_millis() as u64);
        let answer = tokio::time::timeout(deadline, client.exchange(&text)).await;
        assert_eq!(
            answer.unwrap_or_else(|_| panic!("client {nth} has no response at its deadline")).unwrap().status,
            200
        );
        idle.push(client);
    }
    idle
}

#[tokio::test]
async fn lists_are_read_while_idle_clients_use_all_descriptors() {
    let harness = Harness::start_with(2, 64, &[]).await;
    harness.discovery.stop_answering();
    let idle = idle_clients(&harness, 34).await;
    // Descriptors are left for polls that are retried, and for requests meanwhile.
    let last = last_attempt_at_draining_backend(&harness, &harness.discovery).await;
    assert!(last <= DRAIN_GRACE, "last attempt {last} s after the notification");
    assert_eq!(idle.len(), 34);
}

/// Idle clients use descriptors, and polls of a discovery that does not respond stay open.
#[tokio::test]
async fn a_very_small_descriptor_limit_is_not_exceeded() {
    let limit = 32;
    let harness = Harness::start_with(2, limit, &[]).await;
    let process = Process::new(harness.child.id() as i32).unwrap();
    let used = || process.fd_count().unwrap();
    harness.discovery.stop_answering();
    let mut idle = Vec::new();
    for _ in 0..4 {
        idle.extend(idle_clients(&harness, 4).await);
        assert!(used() <= limit, "{} of {limit}", used());
    }
    let last = last_attempt_at_draining_backend(&harness, &harness.discovery).await;
    assert!(last <= DRAIN_GRACE, "last attempt {last} s after the notification");
    assert!(used() <= limit, "{} of {limit}", used());
}

/// The sockets of a process, by their inodes.
struct Sockets {
    tcp_ipv4: HashSet<u64>,
    /// Neither TCP over IPv4 nor an unnamed socket pair.
    unlisted: HashSet<u64>,
}

impl Sockets {
    /// Reads them from /proc. Panics at a kind of socket that the platform does not provide.
    fn of(process: &Process) -> Self {
        let mut open = HashSet::new();
        for fd in process.fd().unwrap() {
            let fd = match fd {
                Err(ProcError::NotFound(_)) => continue, // Closed while the list was read.
                read => read.unwrap(),
            };
            match fd.target {
                FDTarget::Socket(inode) => drop(open.insert(inode)),
                FDTarget::AnonInode(kind) => assert!(!kind.contains("io_uring"), "{kind}"),
                _ => {}
            }
        }
        let tcp: HashSet<u64> = process.tcp().unwrap().into_iter().map(|entry| entry.inode).collect();
        let tcp6 = process.tcp6().unwrap().into_iter().map(|entry| entry.inode);
        let udp = process.udp().unwrap().into_iter().map(|entry| entry.inode);
        let udp6 = process.udp6().unwrap().into_iter().map(|entry| entry.inode);
        let (named, pairs): (Vec<_>, Vec<_>) =
            process.unix().unwrap().into_iter().partition(|entry| entry.path.is_some());
        let refused: HashSet<u64> =
            tcp6.chain(udp).chain(udp6).chain(named.into_iter().map(|entry| entry.inode)).collect();
        // The tables show inode 0 for connections that no longer belong to a process.
        let foreign: Vec<_> = open.intersection(&refused).collect();
        assert!(foreign.is_empty(), "neither TCP over IPv4 nor a socket pair: {foreign:?}");
        // tokio's signal handler uses an unnamed socket pair, to which no process can connect.
        let pairs: HashSet<u64> = pairs.into_iter().map(|entry| entry.inode).collect();
        let tcp_ipv4: HashSet<u64> = open.intersection(&tcp).copied().collect();
        let unlisted =
            open.into_iter().filter(|inode| !tcp.contains(inode) && !pairs.contains(inode)).collect();
        Self { tcp_ipv4, unlisted }
    }
}

#[tokio::test]
async fn the_gateway_is_one_process_with_tcp_over_ipv4_only() {
    let harness = Harness::start(2).await;
    harness.backends[0].set_script(delayed_echo(300));
    harness.backends[1].set_script(delayed_echo(300));
    let (id, mut client) = (unique_id(), harness.client().await);
    client.send(&request(&id, "iso", 3000)).await;
    while harness.attempts(&id) == 0 || harness.counter.accepted_connections() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let process = Process::new(harness.child.id() as i32).unwrap();
    let children: Vec<u32> =
        process.tasks().unwrap().flat_map(|task| task.unwrap().children().unwrap()).collect();
    assert!(children.is_empty(), "{children:?}");
    let mut sockets = Sockets::of(&process);
    let over_ipv4 = sockets.tcp_ipv4.len();
    // A socket that is being created or was just reset is in no table for a moment; one of another kind stays unlisted.
    let deadline = Instant::now() + Duration::from_secs(1);
    let mut unlisted = sockets.unlisted;
    while !unlisted.is_empty() {
        assert!(Instant::now() < deadline, "neither TCP over IPv4 nor a socket pair: {unlisted:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
        sockets = Sockets::of(&process);
        unlisted.retain(|inode| sockets.unlisted.contains(inode));
    }
    assert!(over_ipv4 >= 5, "listener, client, backend, counter, discovery: {over_ipv4}");
    assert_eq!(client.response().await.unwrap().body, format!("done {id}"));
}

/// It is a single program that is linked dynamically against the C library, which the fault shim needs for LD_PRELOAD.
#[test]
fn the_deploy_file_starts_a_dynamically_linked_program() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let deploy: toml::Table = deploy.parse().unwrap();
    assert_eq!(deploy["run"].as_str(), Some("exec target/release/weirusher node"));
    assert!(deploy["build"].as_str().unwrap().contains("--release --locked -p weirusher -p weirusher-cli"));
    for named in deploy["policy"].as_array().unwrap().iter().chain(deploy["node"].as_array().unwrap()) {
        assert!(root.join(named.as_str().unwrap()).exists(), "{named}");
    }
    let program = std::fs::read(env!("CARGO_BIN_EXE_weirusher")).unwrap();
    let elf = ElfFile64::<Endianness>::parse(&*program).unwrap();
    let (endian, mut interpreter) = (elf.endian(), false);
    let mut needed = Vec::new();
    for segment in elf.elf_program_headers() {
        interpreter |= segment.interpreter(endian, &*program).unwrap().is_some();
    }
    let sections = elf.elf_section_table();
    if let Some((entries, strings)) = sections.dynamic(endian, &*program).unwrap() {
        let strings = sections.strings(endian, &*program, strings).unwrap();
        let libraries = entries.iter().filter(|entry| entry.tag32(endian) == Some(DT_NEEDED));
        needed.extend(libraries.map(|entry| String::from_utf8_lossy(entry.string(endian, strings).unwrap())));
    }
    assert!(interpreter && needed.iter().any(|name| name.starts_with("libc.so")), "{interpreter} {needed:?}");
}
