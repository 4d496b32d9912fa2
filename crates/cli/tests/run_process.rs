//! `weirusher run` as a process. On SIGTERM under load each check that was sent is answered, or the proxy is notified that it
//! was not processed (GOAWAY or REFUSED_STREAM, RFC 9113, 6.8 and 8.7) and may send it elsewhere.

#[path = "support/log_sink.rs"]
mod log_sink;
#[path = "support/process.rs"]
mod process;

use bytes::Bytes;
use envoy_types::pb::envoy::service::auth::v3::attribute_context::{
    HttpRequest, Request as AttributeRequest,
};
use envoy_types::pb::envoy::service::auth::v3::{AttributeContext, CheckRequest};
use h2::Reason;
use h2::client::SendRequest;
use log_sink::{broken_pipe, full_device, unread_pipe};
use process::ended;
use prost::Message;
use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use weirusher_fakes::{Counter, Recorder};
use weirusher_fault_shim::{Action, Call, Errno, Fault, FaultShim};

/// Limit for what must happen.
const LIMIT: Duration = Duration::from_secs(30);
/// Limit for the answer to a check.
const CHECK_LIMIT: Duration = Duration::from_millis(1500);
/// Connections, and checks in flight on each.
const CONNECTIONS: usize = 24;
const CHECKS: usize = 8;
/// Answered checks on each connection before SIGTERM.
const CHECKS_BEFORE_SIGNAL: usize = 200;

/// The outcome of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    /// A complete response.
    Answered,
    /// It was certainly not processed.
    NotProcessed,
    /// The connection broke.
    Broken,
}

struct Gateway {
    child: Child,
    address: SocketAddr,
    admin: SocketAddr,
    _dir: tempfile::TempDir,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have ended already.
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// A gateway without an endpoint list: it rejects each check, which is an answer.
    fn start(shim: &FaultShim) -> Self {
        Self::start_with("", shim)
    }

    /// The same with more tables in its configuration.
    fn start_with(tables: &str, shim: &FaultShim) -> Self {
        Self::launch(tables, &shim.environment(), Stdio::inherit())
    }

    /// A gateway that logs everything to `stderr`.
    fn with_log(stderr: Stdio) -> Self {
        Self::launch("", &[("RUST_LOG", "debug".into())], stderr)
    }

    fn launch(tables: &str, environment: &[(&str, OsString)], stderr: Stdio) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("gateway.toml");
        let text = "default_plan = \"only\"\n[instance]\nnumber = 0\ngateways = 1\n[listen]\n\
                    ext_authz = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\ndrain_seconds = 5\n\
                    [[tickets.keys]]\nid = 1\nsecret = \"0123456789abcdef0123456789abcdef\"\n\
                    [discovery]\naddress = \"127.0.0.1:9\"\n[[plan]]\nname = \"only\"\nrate = 100\nburst = 100\n\
                    [[class]]\nname = \"only\"\naim_ms = 1000\neffect = \"unsafe\"\n";
        std::fs::write(&file, format!("{text}{tables}")).unwrap();
        let exe = env!("CARGO_BIN_EXE_weirusher");
        let run = Command::new(exe)
            .args(["run", "--config"])
            .arg(&file)
            .envs(environment.iter().cloned())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn();
        let mut child = run.unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let said: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = |name: &str| said[name].as_str().unwrap().parse().unwrap();
        Self { child, address: address("ext_authz"), admin: address("admin"), _dir: dir }
    }
}

fn end_of(error: &h2::Error) -> End {
    match error.reason() {
        Some(Reason::REFUSED_STREAM) => End::NotProcessed,
        Some(Reason::NO_ERROR) if error.is_go_away() => End::NotProcessed,
        _ => End::Broken,
    }
}

/// Sends one check by gRPC; an error means that the connection accepts no further one.
async fn check(client: SendRequest<Bytes>, message: &CheckRequest) -> Result<End, End> {
    let request = http::Request::post("http://x/envoy.service.auth.v3.Authorization/Check")
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(())
        .unwrap();
    let mut frame = vec![0];
    let message = message.encode_to_vec();
    frame.extend_from_slice(&(message.len() as u32).to_be_bytes());
    frame.extend_from_slice(&message);
    // It was not sent, and needs no answer.
    let mut client = client.ready().await.map_err(|_| End::NotProcessed)?;
    let (response, mut body) = client.send_request(request, false).map_err(|_| End::NotProcessed)?;
    if let Err(error) = body.send_data(frame.into(), true) {
        return Err(end_of(&error));
    }
    let mut answer = response.await.map_err(|error| end_of(&error))?.into_body();
    while let Some(data) = answer.data().await {
        let many = data.map_err(|error| end_of(&error))?.len();
        let _ = answer.flow_control().release_capacity(many);
    }
    answer.trailers().await.map_err(|error| end_of(&error))?;
    Ok(End::Answered)
}

/// Sends checks on one connection until it accepts no further one; the outcomes of those without an answer.
async fn send_checks(address: SocketAddr, answered: tokio::sync::watch::Sender<usize>) -> Vec<End> {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (client, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut asking = JoinSet::new();
    for _ in 0..CHECKS {
        let (client, answered) = (client.clone(), answered.clone());
        asking.spawn(async move {
            loop {
                match check(client.clone(), &CheckRequest::default()).await {
                    Ok(_) => answered.send_modify(|many| *many += 1),
                    Err(end) => return end,
                }
            }
        });
    }
    drop(client);
    asking.join_all().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_check_is_answered_or_signalled_as_not_processed() {
    let mut gateway = Gateway::start(&FaultShim::new().unwrap());
    let answered = tokio::sync::watch::Sender::new(0);
    let edges: Vec<_> =
        (0..CONNECTIONS).map(|_| tokio::spawn(send_checks(gateway.address, answered.clone()))).collect();
    let mut many = answered.subscribe();
    let under_load = many.wait_for(|many| *many >= CONNECTIONS * CHECKS_BEFORE_SIGNAL);
    tokio::time::timeout(LIMIT, under_load).await.expect("Checks are answered").unwrap();
    let id = nix::unistd::Pid::from_raw(gateway.child.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
    let mut ends = Vec::new();
    for edge in edges {
        ends.extend(tokio::time::timeout(LIMIT, edge).await.expect("each connection ends").unwrap());
    }
    let broken = ends.iter().filter(|end| **end == End::Broken).count();
    assert_eq!(broken, 0, "of {} Checks that crossed the shutdown", ends.len());
    assert!(ended(&mut gateway.child).await.success());
}

#[tokio::test]
async fn the_admin_page_survives_a_failed_accept() {
    let shim = FaultShim::new().unwrap();
    let gateway = Gateway::start(&shim);
    for errno in [Errno::ECONNABORTED, Errno::EMFILE] {
        let fails =
            shim.inject(Fault::new(Call::Accept, Action::Fail(errno)).times(2).at(gateway.admin.port()));
        let mut client = TcpStream::connect(gateway.admin).await.unwrap();
        client.write_all(b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        let mut answer = [0; 12];
        let read = tokio::time::timeout(LIMIT, client.read_exact(&mut answer)).await;
        read.expect("an answer").unwrap();
        assert!(answer.ends_with(b"200") && shim.end(fails) == 2);
    }
}

/// A check of a request that names its customer, so that it is decided.
fn check_of_customer() -> CheckRequest {
    let headers = [("x-customer".to_string(), "acme".to_string())].into();
    let http = HttpRequest { method: "GET".into(), path: "/".into(), headers, ..HttpRequest::default() };
    let request = Some(AttributeRequest { http: Some(http), ..AttributeRequest::default() });
    CheckRequest { attributes: Some(AttributeContext { request, ..AttributeContext::default() }) }
}

/// One of the process's figures on the admin page.
async fn figure(gateway: &Gateway, name: &str) -> u64 {
    let stats = weirusher_peers::page::get(gateway.admin, "/stats");
    let page = tokio::time::timeout(LIMIT, stats).await.expect("an answer").unwrap();
    let stats: serde_json::Value = serde_json::from_slice(&page.body).unwrap();
    stats["process"][name].as_u64().unwrap_or_else(|| panic!("no {name} in {stats}"))
}

#[tokio::test]
async fn short_transfers_do_not_break_counter_calls() {
    let shim = FaultShim::new().unwrap();
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let counter = Counter::start(anywhere, Recorder::new(None)).await.unwrap();
    let gateway = Gateway::start_with(&format!("[counter]\naddress = \"{}\"\n", counter.address), &shim);
    let short = [Call::Receive, Call::Send].map(|call| shim.inject(Fault::new(call, Action::Short(1))));
    let stream = TcpStream::connect(gateway.address).await.unwrap();
    let (client, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let answered = async {
        while figure(&gateway, "counter_answered").await == 0 {
            assert_eq!(check(client.clone(), &check_of_customer()).await, Ok(End::Answered));
        }
    };
    tokio::time::timeout(LIMIT, answered).await.expect("the counter's answer is read");
    assert!(short.into_iter().all(|fault| shim.end(fault) > 0));
}

/// Checks that are answered in time on one connection; the gateway then ends at SIGTERM.
async fn serves_and_stops(gateway: &mut Gateway) {
    let stream = TcpStream::connect(gateway.address).await.unwrap();
    let (client, connection) = h2::client::handshake(stream).await.unwrap();
    let connection = tokio::spawn(connection);
    let message = check_of_customer();
    for _ in 0..300 {
        let answer = check(client.clone(), &message);
        let answer = tokio::time::timeout(CHECK_LIMIT, answer).await;
        assert_eq!(answer.expect("an answer in time"), Ok(End::Answered));
    }
    assert!(dropped_lines(gateway).await > 0);
    let id = nix::unistd::Pid::from_raw(gateway.child.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
    drop(client);
    let _ = connection.await; // GOAWAY ends it.
    assert!(ended(&mut gateway.child).await.success());
}

async fn dropped_lines(gateway: &Gateway) -> u64 {
    let stats = weirusher_peers::page::get(gateway.admin, "/stats");
    let page = tokio::time::timeout(LIMIT, stats).await.expect("an answer").unwrap();
    let stats: serde_json::Value = serde_json::from_slice(&page.body).unwrap();
    stats["log_lines_dropped"].as_u64().unwrap()
}

/// Guards against threads that serve and wait for the log.
#[tokio::test]
async fn a_log_that_nobody_reads_delays_no_check_and_no_shutdown() {
    let (_reader, stderr) = unread_pipe();
    serves_and_stops(&mut Gateway::with_log(stderr)).await;
}

/// Guards against a process that panics at a line that cannot be written.
#[tokio::test]
async fn a_log_that_fails_ends_nothing() {
    for stderr in [full_device(), broken_pipe()] {
        serves_and_stops(&mut Gateway::with_log(stderr)).await;
    }
}
