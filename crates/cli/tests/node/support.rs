//! A gateway as a process between scripted servers, and its clients.

use crate::platform::{STOP_WITHIN, configuration};
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
use weirusher_fakes::{DiscoveryAgent, Reply, ScriptedServer, counting};
use weirusher_fault_shim::FaultShim;
use weirusher_wire::http1::Request;

pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Longer than a connection to a backend pauses after a response before it is used again.
pub const REUSE_PAUSE: Duration = Duration::from_millis(40);
/// Limit for what must happen.
pub const LIMIT: Duration = Duration::from_secs(30);

/// The readiness check.
pub const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// An address of the loopback network that no other site has, in this process or another, and any port.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let site = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    SocketAddr::from(([127, high.max(1), low, site], 0))
}

pub struct Site {
    pub child: Child,
    pub listen: SocketAddr,
    pub backends: Vec<ScriptedServer>,
    pub counter: ScriptedServer,
    pub discovery: DiscoveryAgent,
    pub file: PathBuf,
    _dir: tempfile::TempDir,
}

/// How the gateway's process is started.
struct Launch<'a> {
    environment: &'a [(&'a str, OsString)],
    /// Start times of the backends in the first list.
    starts: &'a [i64],
    stderr: Stdio,
}

impl Default for Launch<'_> {
    fn default() -> Self {
        Self { environment: &[], starts: &[], stderr: Stdio::inherit() }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have ended already.
        let _ = self.child.wait();
    }
}

/// A backend's usual response: the id of the request, so that a mix-up shows.
pub fn echo(request: &Request) -> Reply {
    Reply::ok(&format!("done {}", request.headers.get("x-trace-id").unwrap_or("")))
}

/// The usual response after a delay.
pub fn delayed_echo(millis: u64) -> impl Fn(&Request) -> Reply + Send + Sync + 'static {
    move |request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Delayed(Duration::from_millis(millis), bytes),
        other => other,
    }
}

pub fn list(index: u64, backends: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(name, address, status): &(&str, SocketAddr, &str)| {
        json!({"name": name, "address": address, "zone": "a", "type": "m", "group": 0, "status": status,
            "weight": 1.0, "since_ms": 0})
    };
    json!({"index": index, "snapshot": true, "endpoints": backends.iter().map(entry).collect::<Vec<_>>()})
        .to_string()
}

/// The list with the start times of its backends, in order, in Unix milliseconds.
pub fn with_starts(list: &str, starts: &[i64]) -> String {
    let mut list: serde_json::Value = serde_json::from_str(list).unwrap();
    for (entry, start) in list["endpoints"].as_array_mut().unwrap().iter_mut().zip(starts) {
        entry["since_ms"] = (*start).into();
    }
    list.to_string()
}

impl Site {
    pub async fn start(backends: usize) -> Self {
        Self::with(backends, 256, &[]).await
    }

    /// A site of `backends` scripted backends, and others that listen elsewhere.
    pub async fn with(backends: usize, sockets: usize, others: &[(&str, SocketAddr)]) -> Self {
        Self::configured(backends, sockets, others, |text| text).await
    }

    /// A site whose configuration is changed before the gateway starts.
    pub async fn configured(
        backends: usize,
        sockets: usize,
        others: &[(&str, SocketAddr)],
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let site = Self::start_unready(backends, sockets, others, change).await;
        site.ready().await;
        site
    }

    /// A site whose gateway has its clock and system calls under a shim.
    pub async fn with_shim(backends: usize, shim: &FaultShim, change: impl FnOnce(String) -> String) -> Self {
        Self::with_shim_and_starts(backends, shim, &[], change).await
    }

    /// The same, with the start times of the backends in the first list.
    pub async fn with_shim_and_starts(
        backends: usize,
        shim: &FaultShim,
        starts: &[i64],
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let launch = Launch { environment: &shim.environment(), starts, ..Launch::default() };
        let site = Self::spawn(backends, 256, &[], change, launch).await;
        site.ready().await;
        site
    }

    /// A site whose gateway logs to `stderr` what passes `filter`.
    pub async fn with_log(backends: usize, filter: &str, stderr: Stdio) -> Self {
        let environment = [("RUST_LOG", OsString::from(filter))];
        let launch = Launch { environment: &environment, stderr, ..Launch::default() };
        let site = Self::spawn(backends, 256, &[], |text| text, launch).await;
        site.ready().await;
        site
    }

    /// The same without waiting until the gateway is ready.
    pub async fn start_unready(
        backends: usize,
        sockets: usize,
        others: &[(&str, SocketAddr)],
        change: impl FnOnce(String) -> String,
    ) -> Self {
        Self::spawn(backends, sockets, others, change, Launch::default()).await
    }

    async fn spawn(
        backends: usize,
        sockets: usize,
        others: &[(&str, SocketAddr)],
        change: impl FnOnce(String) -> String,
        launch: Launch<'_>,
    ) -> Self {
        let mut started = Vec::new();
        for _ in 0..backends {
            started.push(ScriptedServer::start(ANY_PORT, echo).await.unwrap());
        }
        let names: Vec<String> = (0..backends).map(|n| format!("s-{n}")).collect();
        let own = names.iter().map(String::as_str).zip(started.iter().map(|w| w.address));
        let entries: Vec<_> =
            own.chain(others.iter().copied()).map(|(name, address)| (name, address, "SERVING")).collect();
        let discovery =
            DiscoveryAgent::start(ANY_PORT, 2, with_starts(&list(2, &entries), launch.starts)).await.unwrap();
        let counter = ScriptedServer::start(ANY_PORT, counting()).await.unwrap();
        // A free port of an address that only this site has: nobody else binds there.
        let listen = tokio::net::TcpListener::bind(unique_address()).await.unwrap().local_addr().unwrap();
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        let text = change(configuration(listen, discovery.address(), counter.address, sockets));
        std::fs::write(&file, text).unwrap();
        let exe = env!("CARGO_BIN_EXE_weirusher");
        let child = Command::new(exe)
            .arg("node")
            .env("NODE_CONFIG", &file)
            .env("RUST_LOG", std::env::var("NODE_LOG").unwrap_or_else(|_| "warn".into()))
            .envs(launch.environment.iter().cloned())
            .stdout(Stdio::null())
            .stderr(launch.stderr)
            .spawn()
            .unwrap();
        Self { child, listen, backends: started, counter, discovery, file, _dir: dir }
    }

    /// A gateway without a known list whose discovery does not answer; it is not ready.
    pub async fn without_a_list() -> (Self, ScriptedServer) {
        let silent = ScriptedServer::start(ANY_PORT, |_| Reply::NoReply).await.unwrap();
        let change = |text: String| {
            let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
            config["discovery"] = silent.address.to_string().into();
            config.as_object_mut().unwrap().remove("known");
            config.to_string()
        };
        (Self::start_unready(1, 256, &[], change).await, silent)
    }

    /// Waits until the gateway is ready and has its first list.
    pub async fn ready(&self) {
        let ready = async {
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
                // Its first list may not have arrived yet.
                if client.response().await.unwrap().status == 200 && !self.discovery.received().is_empty() {
                    return;
                }
            }
        };
        tokio::time::timeout(LIMIT, ready).await.unwrap();
        self.discovery.wait_until_list_received(2).await;
    }

    pub async fn client(&self) -> Client {
        Client(TcpStream::connect(self.listen).await.unwrap())
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let id = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(id, signal).unwrap();
    }

    /// Waits until the process is suspended.
    pub async fn suspended(&self) {
        let process = procfs::process::Process::new(self.child.id() as i32).unwrap();
        while process.stat().unwrap().state != 'T' {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Reloads the configuration. When this returns it was read; it may not be applied yet.
    pub async fn reload(&self, text: String) {
        // A named pipe: the write ends once the gateway has read it.
        std::fs::remove_file(&self.file).unwrap();
        nix::unistd::mkfifo(&self.file, nix::sys::stat::Mode::S_IRWXU).unwrap();
        self.signal(nix::sys::signal::Signal::SIGHUP);
        let file = self.file.clone();
        let written = tokio::task::spawn_blocking(move || std::fs::write(file, text).unwrap());
        tokio::time::timeout(LIMIT, written).await.expect("it is read").unwrap();
    }

    /// Attempts of the request with this id that backends received.
    pub fn attempts(&self, id: &str) -> usize {
        let received = self.backends.iter().flat_map(ScriptedServer::received);
        received.filter(|received| received.request.headers.get("x-trace-id") == Some(id)).count()
    }
}

pub struct Client(pub TcpStream);

/// A response as a client reads it.
#[derive(Debug, PartialEq, Eq)]
pub struct ClientResponse {
    pub status: u16,
    /// In lower case.
    pub head: String,
    pub body: String,
}

impl Client {
    pub async fn send(&mut self, bytes: &str) {
        self.0.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// The next complete response; `None`: the connection ended without one.
    pub async fn response(&mut self) -> Option<ClientResponse> {
        let mut bytes = Vec::new();
        let read = async {
            loop {
                if let Some(answer) = parse_response(&bytes) {
                    return Some(answer);
                }
                let mut part = [0; 4096];
                match self.0.read(&mut part).await {
                    Ok(many @ 1..) => bytes.extend_from_slice(&part[..many]),
                    _ => return None,
                }
            }
        };
        tokio::time::timeout(LIMIT, read).await.expect("a response or an end")
    }

    pub async fn exchange(&mut self, request: &str) -> Option<ClientResponse> {
        self.send(request).await;
        self.response().await
    }

    /// Waits until the gateway closes the connection, whatever it sends before.
    pub async fn closed(&mut self) {
        let end = async { while matches!(self.0.read(&mut [0; 4096]).await, Ok(1..)) {} };
        tokio::time::timeout(LIMIT, end).await.expect("a close");
    }
}

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

pub fn id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

pub fn request(id: &str, plan: &str, deadline_ms: u64) -> String {
    format!(
        "GET /api/00000000b4d65521?a=b HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: check\r\n\
         Plan: {plan}\r\nX-Expires-In: {deadline_ms}m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
    )
}

pub fn store(id: &str, body: &str) -> String {
    format!(
        "POST /api/00000000b4d65521 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: store\r\n\
         Plan: iso\r\nX-Expires-In: 3000m\r\nQuota-Info: units=1,spread=1,first=0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A backend whose connections come up late: its backlog is full. Dropping the streams makes room.
pub fn slow_to_connect_backend() -> (tokio::net::TcpListener, Vec<std::net::TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(unique_address()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let brief = Duration::from_millis(200);
    let connect = || std::net::TcpStream::connect_timeout(&address, brief);
    let waiting: Vec<_> = std::iter::from_fn(|| connect().ok()).take(16).collect();
    assert!(waiting.len() < 16, "its backlog has an end");
    (listener, waiting)
}

/// Sends requests while the agent notifies that `s-0` drains; seconds from the notification until the last attempt at it.
pub async fn last_attempt_at_draining_backend(site: &Site, agent: &DiscoveryAgent) -> f64 {
    let serving: Vec<_> = site.backends.iter().map(|backend| backend.address).collect();
    agent.set_list(3, list(3, &[("s-0", serving[0], "DRAINING"), ("s-1", serving[1], "SERVING")]));
    agent.resume_answering();
    let notified = std::time::Instant::now();
    let mut client = site.client().await;
    while notified.elapsed().as_secs_f64() < 3.5 * STOP_WITHIN {
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.backends[0]
        .received()
        .last()
        .map_or(0.0, |last| last.received_at.saturating_duration_since(notified).as_secs_f64())
}
