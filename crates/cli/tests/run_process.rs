//! `weirusher run` as a process. Told to stop under load: each Check that was sent has its answer, or its edge is told in order that it
//! was not processed (GOAWAY or REFUSED_STREAM, RFC 9113, 6.8 and 8.7), and may ask elsewhere.

#[path = "support/process.rs"]
mod process;

use bytes::Bytes;
use envoy_types::pb::envoy::service::auth::v3::attribute_context::{
    HttpRequest, Request as AttributeRequest,
};
use envoy_types::pb::envoy::service::auth::v3::{AttributeContext, CheckRequest};
use h2::Reason;
use h2::client::SendRequest;
use process::ended;
use prost::Message;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use weirusher_fakes::{Counter, Recorder};
use weirusher_fault_shim::{Action, Call, Errno, Fault, FaultShim};

/// A generous limit for whatever must come about.
const LIMIT: Duration = Duration::from_secs(30);
/// Connections, and Checks out at once on each.
const CONNECTIONS: usize = 24;
const CHECKS: usize = 8;
/// Answered Checks on each connection after which the process is told to stop.
const BEFORE_THE_SIGNAL: usize = 200;

/// What became of a Check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    /// A whole response.
    Answered,
    /// It was surely not processed.
    NotProcessed,
    /// The connection broke under it.
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
    /// A gateway without a list of servers: it refuses each Check, which is an answer.
    fn start(shim: &FaultShim) -> Self {
        Self::start_with("", shim)
    }

    /// The same with more tables in its configuration.
    fn start_with(tables: &str, shim: &FaultShim) -> Self {
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
            .envs(shim.environment())
            .stdout(Stdio::piped())
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

/// One Check by gRPC, to its end; an error: the connection takes no further one.
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
    // Not sent at all: nothing is owed.
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

/// Asks on one connection until it takes no further Check; how each one ended that did not have its answer.
async fn edge(address: SocketAddr, answered: tokio::sync::watch::Sender<usize>) -> Vec<End> {
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
async fn each_check_is_answered_or_told_to_be_not_processed() {
    let mut gateway = Gateway::start(&FaultShim::new().unwrap());
    let answered = tokio::sync::watch::Sender::new(0);
    let edges: Vec<_> =
        (0..CONNECTIONS).map(|_| tokio::spawn(edge(gateway.address, answered.clone()))).collect();
    let mut many = answered.subscribe();
    let under_load = many.wait_for(|many| *many >= CONNECTIONS * BEFORE_THE_SIGNAL);
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
async fn the_admin_page_outlives_a_connection_that_could_not_be_accepted() {
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

/// A Check of a request that names its customer: it is decided.
fn of_a_customer() -> CheckRequest {
    let headers = [("x-customer".to_string(), "acme".to_string())].into();
    let http = HttpRequest { method: "GET".into(), path: "/".into(), headers, ..HttpRequest::default() };
    let request = Some(AttributeRequest { http: Some(http), ..AttributeRequest::default() });
    CheckRequest { attributes: Some(AttributeContext { request, ..AttributeContext::default() }) }
}

/// A figure of the admin page on the process.
async fn figure(gateway: &Gateway, name: &str) -> u64 {
    let asked = weirusher_peers::page::get(gateway.admin, "/stats");
    let page = tokio::time::timeout(LIMIT, asked).await.expect("an answer").unwrap();
    let stats: serde_json::Value = serde_json::from_slice(&page.body).unwrap();
    stats["process"][name].as_u64().unwrap_or_else(|| panic!("no {name} in {stats}"))
}

#[tokio::test]
async fn counter_calls_are_answered_in_short_transfers() {
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
            assert_eq!(check(client.clone(), &of_a_customer()).await, Ok(End::Answered));
        }
    };
    tokio::time::timeout(LIMIT, answered).await.expect("the counter's answer is read");
    assert!(short.into_iter().all(|fault| shim.end(fault) > 0));
}
