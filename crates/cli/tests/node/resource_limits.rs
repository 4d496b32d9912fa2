//! Limits of the platform: descriptors, one process, the program that the deploy file starts.

use crate::platform::STOP_WITHIN;
use crate::support::{Client, Site, delayed_echo, id, last_attempt_at_draining_backend, request};
use object::Endianness;
use object::elf::DT_NEEDED;
use object::read::elf::{Dyn, ElfFile64, ProgramHeader};
use procfs::ProcError;
use procfs::process::{FDTarget, Process};
use std::collections::HashSet;
use std::time::{Duration, Instant};

#[tokio::test]
async fn at_the_connection_limit_silent_connections_are_closed_and_requests_are_served() {
    let site = Site::with(1, 64, &[]).await;
    let mut silent = Vec::new();
    for _ in 0..60 {
        silent.push(site.client().await);
    }
    assert_eq!(site.client().await.exchange(&request(&id(), "iso", 10_000)).await.unwrap().status, 200);
}

/// Clients that send one request and keep their connections, more than there are descriptors: each gets its response in
/// time.
async fn idle_clients(site: &Site, many: usize) -> Vec<Client> {
    let deadline = Duration::from_millis(1500);
    let mut idle = Vec::new();
    for nth in 0..many {
        let mut client = site.client().await;
        let text = request(&id(), "iso", deadline.as_millis() as u64);
        let answer = tokio::time::timeout(deadline, client.exchange(&text)).await;
        assert_eq!(
            answer.unwrap_or_else(|_| panic!("client {nth} waits past its time")).unwrap().status,
            200
        );
        idle.push(client);
    }
    idle
}

#[tokio::test]
async fn idle_clients_at_the_descriptor_limit_do_not_keep_lists_from_being_read() {
    let site = Site::with(2, 64, &[]).await;
    site.discovery.stop_answering();
    let idle = idle_clients(&site, 34).await;
    // There are descriptors for the polls that are sent again, and for requests meanwhile.
    let last = last_attempt_at_draining_backend(&site, &site.discovery).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was notified");
    assert_eq!(idle.len(), 34);
}

#[tokio::test]
async fn at_a_very_small_descriptor_limit_idle_clients_and_a_silent_discovery_stay_within_it() {
    let limit = 32;
    let site = Site::with(2, limit, &[]).await;
    let process = Process::new(site.child.id() as i32).unwrap();
    let taken = || process.fd_count().unwrap();
    site.discovery.stop_answering();
    let mut idle = Vec::new();
    for _ in 0..4 {
        idle.extend(idle_clients(&site, 4).await);
        assert!(taken() <= limit, "{} of {limit}", taken());
    }
    let last = last_attempt_at_draining_backend(&site, &site.discovery).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was notified");
    assert!(taken() <= limit, "{} of {limit}", taken());
}

/// The sockets of a process, by their inodes.
struct Sockets {
    tcp_ipv4: HashSet<u64>,
    /// Neither TCP over IPv4 nor an unnamed pair.
    unlisted: HashSet<u64>,
}

impl Sockets {
    /// Reads them from the system's tables. Fails at a socket of a kind that the platform does not have.
    fn of(process: &Process) -> Self {
        let mut open = HashSet::new();
        for fd in process.fd().unwrap() {
            let fd = match fd {
                Err(ProcError::NotFound(_)) => continue, // Closed as it was read.
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
        // Tables hold inode 0 for connections that no process has any more.
        let foreign: Vec<_> = open.intersection(&refused).collect();
        assert!(foreign.is_empty(), "neither TCP over IPv4 nor a pair: {foreign:?}");
        // The signal handler wakes its reader by an unnamed socket pair, which nobody can connect to.
        let pairs: HashSet<u64> = pairs.into_iter().map(|entry| entry.inode).collect();
        let tcp_ipv4: HashSet<u64> = open.intersection(&tcp).copied().collect();
        let unlisted =
            open.into_iter().filter(|inode| !tcp.contains(inode) && !pairs.contains(inode)).collect();
        Self { tcp_ipv4, unlisted }
    }
}

#[tokio::test]
async fn under_load_it_is_one_process_whose_sockets_are_tcp_over_ipv4() {
    let site = Site::start(2).await;
    site.backends[0].set_script(delayed_echo(300));
    site.backends[1].set_script(delayed_echo(300));
    let (id, mut client) = (id(), site.client().await);
    client.send(&request(&id, "iso", 3000)).await;
    while site.attempts(&id) == 0 || site.counter.connections() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let process = Process::new(site.child.id() as i32).unwrap();
    let children: Vec<u32> =
        process.tasks().unwrap().flat_map(|task| task.unwrap().children().unwrap()).collect();
    assert!(children.is_empty(), "{children:?}");
    let mut sockets = Sockets::of(&process);
    let over_ipv4 = sockets.tcp_ipv4.len();
    // A socket that is being made, or was reset a moment ago, is in no table; one of another kind stays.
    let deadline = Instant::now() + Duration::from_secs(1);
    let mut unlisted = sockets.unlisted;
    while !unlisted.is_empty() {
        assert!(Instant::now() < deadline, "neither TCP over IPv4 nor a pair: {unlisted:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
        sockets = Sockets::of(&process);
        unlisted.retain(|inode| sockets.unlisted.contains(inode));
    }
    assert!(over_ipv4 >= 5, "listener, front, backend, counter, discovery: {over_ipv4}");
    assert_eq!(client.response().await.unwrap().body, format!("done {id}"));
}

#[test]
fn the_deploy_file_ends_in_one_program_linked_dynamically_against_the_c_library() {
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
