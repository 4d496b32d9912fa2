//! The test harness: a gateway process with scripted backends, counter and discovery, and clients that talk to it.

use crate::platform::{DRAIN_GRACE, configuration};
use serde_json::json;
use std::ffi::OsString;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use weirusher_fakes::{DiscoveryAgent, Reply, ScriptedServer, counter_script};
use weirusher_fault_shim::FaultShim;
use weirusher_wire::http1::Request;

pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Longer than the time after a response for which the gateway does not reuse a connection to a backend.
pub const REUSE_PAUSE: Duration = Duration::from_millis(40);
/// Time limit for conditions that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A readiness check.
pub const READINESS_CHECK: &str = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// An address in 127.0.0.0/8 that no other harness uses, in this process or another one, with port 0.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    SocketAddr::from(([127, high.max(1), low, number], 0))
}

/// A gateway process and the servers that it talks to. Dropping it kills the process.
pub struct Harness {
    pub child: Child,
    pub listen: SocketAddr,
    pub backends: Vec<ScriptedServer>,
    pub counter: ScriptedServer,
    pub discovery: DiscoveryAgent,
    pub file: PathBuf,
    _dir: tempfile::TempDir,
}

/// Options for starting the gateway process.
pub struct LaunchOptions<'a> {
    /// Arguments beside the configuration.
    pub arguments: &'a [OsString],
    pub environment: &'a [(&'a str, OsString)],
    /// Start times of the backends in the first endpoint list, in Unix milliseconds.
    pub start_times: &'a [i64],
    pub stderr: Stdio,
}

impl Default for LaunchOptions<'_> {
    fn default() -> Self {
        Self { arguments: &[], environment: &[], start_times: &[], stderr: Stdio::inherit() }
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have exited already.
        let _ = self.child.wait();
    }
}

/// The default response of a backend. It contains the id of the request, so that tests notice mixed-up responses.
pub fn echo(request: &Request) -> Reply {
    Reply::ok(&format!("done {}", request.headers.get("x-trace-id").unwrap_or("")))
}

/// The default response after a delay.
pub fn delayed_echo(millis: u64) -> impl Fn(&Request) -> Reply + Send + Sync + 'static {
    move |request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Delayed(Duration::from_millis(millis), bytes),
        other => other,
    }
}

/// An endpoint list in discovery's JSON form, as version `index`, of backends given as name, address and status.
pub fn endpoint_list(index: u64, backends: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(name, address, status): &(&str, SocketAddr, &str)| {
        json!({"name": name, "address": address, "zone": "a", "type": "m", "group": 0, "status": status,
            "weight": 1.0, "since_ms": 0})
    };
    json!({"index": index, "snapshot": true, "endpoints": backends.iter().map(entry).collect::<Vec<_>>()})
        .to_string()
}

/// The endpoint list with the given start times of its backends, in order, in Unix milliseconds.
pub fn with_start_times(list: &str, start_times: &[i64]) -> String {
    let mut list: serde_json::Value = serde_json::from_str(list).unwrap();
    for (entry, start) in list["endpoints"].as_array_mut().unwrap().iter_mut().zip(start_times) {
        entry["since_ms"] = (*start).into();
    }
    list.to_string()
}

impl Harness {
    /// Starts a gateway with `backends` scripted backends, and waits until it is ready.
    pub async fn start(backends: usize) -> Self {
        Self::start_with(backends, 256, &[]).await
    }

    /// Starts a gateway with `backends` scripted backends; `others` are listed too, by name and address.
    pub async fn start_with(backends: usize, sockets: usize, others: &[(&str, SocketAddr)]) -> Self {
        Self::start_with_config(backends, sockets, others, |text| text).await
    }

    /// Like [`Self::start_with`], with a change to the configuration before the gateway starts.
    pub async fn start_with_config(
        backends: usize,
        sockets: usize,
        others: &[(&str, SocketAddr)],
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let harness = Self::start_unready(backends, sockets, others, change).await;
        harness.wait_until_ready().await;
        harness
    }

    /// Starts a gateway whose clock and system calls are intercepted by `shim`.
    pub async fn start_with_shim(
        backends: usize,
        shim: &FaultShim,
        change: impl FnOnce(String) -> String,
    ) -> Self {
        Self::start_with_shim_and_times(backends, shim, &[], change).await
    }

    /// Like [`Self::start_with_shim`], with start times of the backends in the first endpoint list.
    pub async fn start_with_shim_and_times(
        backends: usize,
        shim: &FaultShim,
        start_times: &[i64],
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let options =
            LaunchOptions { environment: &shim.environment(), start_times, ..LaunchOptions::default() };
        let harness = Self::spawn(backends, 256, &[], change, options).await;
        harness.wait_until_ready().await;
        harness
    }

    /// Starts a gateway that logs to `stderr`, with `filter` as RUST_LOG.
    pub async fn start_with_log(backends: usize, filter: &str, stderr: Stdio) -> Self {
        let environment = [("RUST_LOG", OsString::from(filter))];
        let options = LaunchOptions { environment: &environment, stderr, ..LaunchOptions::default() };
        let harness = Self::spawn(backends, 256, &[], |text| text, options).await;
        harness.wait_until_ready().await;
        harness
    }

    /// Starts a gateway without waiting until it is ready.
    pub async fn start_unready(
        backends: usize,
        sockets: usize,
        others: &[(&str, SocketAddr)],
        change: impl FnOnce(String) -> String,
    ) -> Self {
        Self::spawn(backends, sockets, others, change, LaunchOptions::default()).await
    }

    /// Starts a gateway with these options, without waiting until it is ready.
    pub async fn spawn(
        backends: usize,
        sockets: usize,
        others: &[(&str, SocketAddr)],
        change: impl FnOnce(String) -> String,
        options: LaunchOptions<'_>,
    ) -> Self {
        let mut servers = Vec::new();
        for _ in 0..backends {
            servers.push(ScriptedServer::start(ANY_PORT, echo).await.unwrap());
        }
        let names: Vec<String> = (0..backends).map(|n| format!("s-{n}")).collect();
        let own = names.iter().map(String::as_str).zip(servers.iter().map(|server| server.address));
        let entries: Vec<_> =
            own.chain(others.iter().copied()).map(|(name, address)| (name, address, "SERVING")).collect();
        let discovery = DiscoveryAgent::start(
            ANY_PORT,
            2,
            with_start_times(&endpoint_list(2, &entries), options.start_times),
        )
        .await
        .unwrap();
        let counter = ScriptedServer::start(ANY_PORT, counter_script()).await.unwrap();
        // The port is free again once the listener is dropped; no other process binds to this address.
        let listen = tokio::net::TcpListener::bind(unique_address()).await.unwrap().local_addr().unwrap();
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        let text = change(configuration(listen, discovery.address(), counter.address, sockets));
        std::fs::write(&file, text).unwrap();
        let exe = env!("CARGO_BIN_EXE_weirusher");
        let child = Command::new(exe)
            .arg("node")
            .args(options.arguments)
            .env("NODE_CONFIG", &file)
            .env("RUST_LOG", std::env::var("NODE_LOG").unwrap_or_else(|_| "warn".into()))
            .envs(options.environment.iter().cloned())
            .stdout(Stdio::null())
            .stderr(options.stderr)
            .spawn()
            .unwrap();
        Self { child, listen, backends: servers, counter, discovery, file, _dir: dir }
    }

    /// Starts a gateway that is not ready: its configuration has no endpoint list and its discovery does not respond.
    pub async fn start_without_list() -> (Self, ScriptedServer) {
        let silent = ScriptedServer::start(ANY_PORT, |_| Reply::NoReply).await.unwrap();
        let change = |text: String| {
            let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
            config["discovery"] = silent.address.to_string().into();
            config.as_object_mut().unwrap().remove("known");
            config.to_string()
        };
        (Self::start_unready(1, 256, &[], change).await, silent)
    }

    /// Waits until the gateway is ready and has its first list from discovery.
    pub async fn wait_until_ready(&self) {
        let is_ready = async {
            loop {
                let mut client = match TcpStream::connect(self.listen).await {
                    Ok(stream) => Client(stream),
                    Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        continue;
                    }
                    Err(error) => panic!("{error}"),
                };
                client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
                // The gateway is ready with its configured list, before discovery's first list has arrived.
                if client.response().await.unwrap().status == 200 && !self.discovery.received().is_empty() {
                    return;
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, is_ready).await.unwrap();
        self.discovery.wait_until_list_received(2).await;
    }

    pub async fn client(&self) -> Client {
        Client(TcpStream::connect(self.listen).await.unwrap())
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let id = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(id, signal).unwrap();
    }

    /// Waits until the process is stopped by SIGSTOP.
    pub async fn wait_until_suspended(&self) {
        let process = procfs::process::Process::new(self.child.id() as i32).unwrap();
        while process.stat().unwrap().state != 'T' {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Reloads the configuration. On return the gateway has read the file, but may not have applied it yet.
    pub async fn reload(&self, text: String) {
        // The write to a named pipe completes only when the gateway reads it.
        std::fs::remove_file(&self.file).unwrap();
        nix::unistd::mkfifo(&self.file, nix::sys::stat::Mode::S_IRWXU).unwrap();
        self.signal(nix::sys::signal::Signal::SIGHUP);
        let file = self.file.clone();
        let written = tokio::task::spawn_blocking(move || std::fs::write(file, text).unwrap());
        tokio::time::timeout(TEST_TIMEOUT, written).await.expect("the configuration is read").unwrap();
    }

    /// Number of attempts of the request with this id that the backends have received.
    pub fn attempts(&self, id: &str) -> usize {
        let received = self.backends.iter().flat_map(ScriptedServer::received);
        received.filter(|received| received.request.headers.get("x-trace-id") == Some(id)).count()
    }
}

/// A client's connection to the gateway.
pub struct Client(pub TcpStream);

/// A response as received by a client.
#[derive(Debug, PartialEq, Eq)]
pub struct ClientResponse {
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    pub body: String,
}

impl Client {
    pub async fn send(&mut self, bytes: &str) {
        self.0.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Reads the next complete response; `None` if the connection ends before it.
    pub async fn response(&mut self) -> Option<ClientResponse> {
        let mut bytes = Vec::new();
        let read = async {
            loop {
                if let Some(response) = parse_response(&bytes) {
                    return Some(response);
                }
                let mut part = [0; 4096];
                match self.0.read(&mut part).await {
                    Ok(length @ 1..) => bytes.extend_from_slice(&part[..length]),
                    _ => return None,
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, read).await.expect("a response or the end of the connection")
    }

    /// Sends a request and reads its response.
    pub async fn exchange(&mut self, request: &str) -> Option<ClientResponse> {
        self.send(request).await;
        self.response().await
    }

    /// Discards what the gateway sends until it closes the connection.
    pub async fn wait_for_close(&mut self) {
        let end = async { while matches!(self.0.read(&mut [0; 4096]).await, Ok(1..)) {} };
        tokio::time::timeout(TEST_TIMEOUT, end).await.expect("the gateway closes the connection");
    }
}

/// Parses a response; `None` if it is incomplete.
pub fn parse_response(bytes: &[u8]) -> Option<ClientResponse> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let length: usize = head.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().unwrap();
    let status = head.split(' ').nth(1)?.parse().unwrap();
    (body.len() >= length).then(|| ClientResponse {
        status,
        head: head.clone(),
        body: body[..length].to_string(),
    })
}

/// A request id that is unique in this process.
pub fn unique_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// An idempotent request (class `check`) of a customer with this plan.
pub fn request(id: &str, plan: &str, deadline_ms: u64) -> String {
    format!(
        "GET /api/00000000b4d65521?a=b HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: check\r\n\
         Plan: {plan}\r\nX-Expires-In: {deadline_ms}m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// A request that is not idempotent (class `store`), with a deadline of 3 s.
pub fn store_request(id: &str, body: &str) -> String {
    format!(
        "POST /api/00000000b4d65521 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: store\r\n\
         Plan: iso\r\nX-Expires-In: 3000m\r\nQuota-Info: units=1,spread=1,first=0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A listener with a full accept backlog, so that connections to it are not established until the streams are dropped.
pub fn slow_to_connect_backend() -> (tokio::net::TcpListener, Vec<std::net::TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(unique_address()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let brief = Duration::from_millis(200);
    let connect = || std::net::TcpStream::connect_timeout(&address, brief);
    let waiting: Vec<_> = std::iter::from_fn(|| connect().ok()).take(16).collect();
    assert!(waiting.len() < 16, "the accept backlog is limited");
    (listener, waiting)
}

/// Sends requests while `agent` notifies the gateway that `s-0` drains. Returns the seconds from the notification to
/// the last attempt at `s-0`.
pub async fn last_attempt_at_draining_backend(harness: &Harness, agent: &DiscoveryAgent) -> f64 {
    let serving: Vec<_> = harness.backends.iter().map(|backend| backend.address).collect();
    agent.set_list(3, endpoint_list(3, &[("s-0", serving[0], "DRAINING"), ("s-1", serving[1], "SERVING")]));
    agent.resume_answering();
    let notified = std::time::Instant::now();
    let mut client = harness.client().await;
    while notified.elapsed().as_secs_f64() < 3.5 * DRAIN_GRACE {
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    harness.backends[0]
        .received()
        .last()
        .map_or(0.0, |last| last.received_at.saturating_duration_since(notified).as_secs_f64())
}
