//! External authorisation on loopback, beside a bare tonic server that answers every Check with OK.
//!
//! `cargo bench -p weirusher-scenarios --bench ext_authz`. Both servers run in this process on a runtime of
//! their own, of one worker and of as many as there are cores; clients run on another. Each server gets the same
//! Checks in turns, so that what else the machine does falls on both. The ratios are the figures.

use envoy_types::pb::envoy::data::accesslog::v3::HttpResponseProperties;
use envoy_types::pb::envoy::data::accesslog::v3::{
    AccessLogCommon, HttpAccessLogEntry, HttpRequestProperties,
};
use envoy_types::pb::envoy::service::accesslog::v3::access_log_service_client::AccessLogServiceClient;
use envoy_types::pb::envoy::service::accesslog::v3::{
    StreamAccessLogsMessage, stream_access_logs_message::HttpAccessLogEntries,
    stream_access_logs_message::LogEntries,
};
use envoy_types::pb::envoy::service::auth::v3::attribute_context::{
    HttpRequest, Request as AttributeRequest,
};
use envoy_types::pb::envoy::service::auth::v3::authorization_client::AuthorizationClient;
use envoy_types::pb::envoy::service::auth::v3::authorization_server::{Authorization, AuthorizationServer};
use envoy_types::pb::envoy::service::auth::v3::check_response::HttpResponse;
use envoy_types::pb::envoy::service::auth::v3::{
    AttributeContext, CheckRequest, CheckResponse, OkHttpResponse,
};
use envoy_types::pb::google::protobuf::UInt32Value;
use envoy_types::pb::google::rpc::Status as RpcStatus;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tonic::{Request, Response, Status};
use weirusher::Endpoint;
use weirusher_config::Config;
use weirusher_fakes::{Counter, Discovery, Recorder};

/// Checks of one turn at full speed.
const CHECKS: usize = 20_000;
/// Seconds of one turn at half speed.
const HALF: f64 = 2.0;
/// Turns of each server.
const TURNS: usize = 5;
/// Connections, and Checks out on each at full speed.
const CONNECTIONS: usize = 4;
const DEPTH: usize = 16;
/// Customers and checkers.
const CUSTOMERS: usize = 1_000;
const CHECKERS: usize = 50;

struct Bare;

#[tonic::async_trait]
impl Authorization for Bare {
    async fn check(&self, _: Request<CheckRequest>) -> Result<Response<CheckResponse>, Status> {
        Ok(Response::new(CheckResponse {
            status: Some(RpcStatus::default()),
            dynamic_metadata: None,
            http_response: Some(HttpResponse::OkResponse(OkHttpResponse::default())),
        }))
    }
}

fn runtime(workers: usize) -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
        .expect("a runtime")
}

async fn bare() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let incoming = tonic::transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = tonic::transport::Server::builder().add_service(AuthorizationServer::new(Bare));
    tokio::spawn(server.serve_with_incoming(incoming));
    address
}

/// A gatekeeper with its counter and its list; what holds them lives as long as the process.
async fn gatekeeper() -> SocketAddr {
    let any = "127.0.0.1:0".parse().expect("an address");
    let counter = Counter::start(any, Recorder::new(None)).await.expect("a counter");
    let discovery = Discovery::start(any, Duration::ZERO, Recorder::new(None)).await.expect("discovery");
    let entry = |n: usize| Endpoint::warm(format!("127.0.0.1:{}", 10_000 + n));
    discovery.set((0..CHECKERS).map(entry).collect());
    let text = format!(
        "default_plan = \"p\"\n[instance]\nnumber = 0\ngateways = 1\n[listen]\next_authz = \"127.0.0.1:0\"\n\
         [[tickets.keys]]\nid = 1\nsecret = \"0123456789abcdef0123456789abcdef\"\n[counter]\naddress = \"{}\"\n\
         [discovery]\naddress = \"{}\"\n[limits]\nopen = 1000000\n[[plan]]\nname = \"p\"\nrate = 100000\nburst = 100000\n\
         [[class]]\nname = \"c\"\naim_ms = 10000\n",
        counter.address, discovery.address
    );
    let config = Config::parse(&text).unwrap_or_else(|p| panic!("{}", p.render("", &text)));
    let running = weirusher_ext_authz::start(config).await.expect("it starts");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let address = running.ext_authz;
    std::mem::forget((running, counter, discovery));
    address
}

fn request(n: usize) -> CheckRequest {
    let headers = [("x-customer".to_string(), format!("customer-{}", n % CUSTOMERS))].into();
    let http = HttpRequest { method: "POST".into(), path: "/c".into(), headers, ..HttpRequest::default() };
    let request = Some(AttributeRequest { http: Some(http), time: None });
    CheckRequest { attributes: Some(AttributeContext { request, ..AttributeContext::default() }) }
}

fn ticket(response: &CheckResponse) -> Option<String> {
    let Some(HttpResponse::OkResponse(ok)) = &response.http_response else { return None };
    let mut headers = ok.headers.iter().filter_map(|h| h.header.as_ref());
    headers.find(|h| h.key == "x-weirusher-ticket").map(|h| h.value.clone())
}

fn entry(ticket: String) -> HttpAccessLogEntry {
    let request_headers = [("x-weirusher-ticket".to_string(), ticket)].into();
    let response_code = Some(UInt32Value { value: 200 });
    HttpAccessLogEntry {
        common_properties: Some(AccessLogCommon::default()),
        request: Some(HttpRequestProperties { request_headers, ..HttpRequestProperties::default() }),
        response: Some(HttpResponseProperties { response_code, ..HttpResponseProperties::default() }),
        ..HttpAccessLogEntry::default()
    }
}

/// One client connection with its report stream.
#[derive(Clone)]
struct Client {
    check: AuthorizationClient<tonic::transport::Channel>,
    reports: mpsc::Sender<String>,
}

impl Client {
    async fn connect(address: SocketAddr) -> Self {
        let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}")).expect("a URL");
        let channel = endpoint.tcp_nodelay(true).connect().await.expect("it connects");
        let (reports, mut tickets) = mpsc::channel::<String>(65_536);
        let (messages, stream) = mpsc::channel(64);
        let mut log = AccessLogServiceClient::new(channel.clone());
        tokio::spawn(async move {
            log.stream_access_logs(tokio_stream::wrappers::ReceiverStream::new(stream)).await
        });
        tokio::spawn(async move {
            let mut batch = Vec::new();
            while tickets.recv_many(&mut batch, 64).await > 0 {
                let log_entry = batch.drain(..).map(entry).collect();
                let log_entries = Some(LogEntries::HttpLogs(HttpAccessLogEntries { log_entry }));
                let _ = messages.send(StreamAccessLogsMessage { identifier: None, log_entries }).await;
            }
        });
        Self { check: AuthorizationClient::new(channel), reports }
    }

    /// One Check, its time, and its report; tells whether it was allowed.
    async fn once(&mut self, n: usize) -> (Duration, bool) {
        let request = request(n);
        let began = Instant::now();
        let response = self.check.check(request).await.expect("an answer").into_inner();
        let took = began.elapsed();
        let allowed = matches!(response.http_response, Some(HttpResponse::OkResponse(_)));
        if let Some(ticket) = ticket(&response) {
            let _ = self.reports.try_send(ticket);
        }
        (took, allowed)
    }
}

/// Checks a second with many out, and the share that was allowed.
async fn full(clients: &[Client]) -> (f64, f64) {
    let began = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let each = CHECKS / (clients.len() * DEPTH);
    for (c, client) in clients.iter().enumerate() {
        for d in 0..DEPTH {
            let mut client = client.clone();
            tasks.spawn(async move {
                let mut allowed = 0;
                for n in 0..each {
                    allowed += usize::from(client.once((c * DEPTH + d) * each + n).await.1);
                }
                allowed
            });
        }
    }
    let mut allowed = 0;
    while let Some(done) = tasks.join_next().await {
        allowed += done.expect("no client panics");
    }
    let made = each * clients.len() * DEPTH;
    (made as f64 / began.elapsed().as_secs_f64(), allowed as f64 / made as f64)
}

/// Delays at `rate` Checks a second, in microseconds.
async fn paced(clients: &[Client], rate: f64, delays: &mut Histogram<u64>) {
    let mut tasks = tokio::task::JoinSet::new();
    let each = rate / clients.len() as f64;
    for client in clients {
        let client = client.clone();
        tasks.spawn(async move {
            let (began, mut calls) = (tokio::time::Instant::now(), tokio::task::JoinSet::new());
            for n in 0..(each * HALF) as usize {
                tokio::time::sleep_until(began + Duration::from_secs_f64(n as f64 / each)).await;
                let mut client = client.clone();
                calls.spawn(async move { client.once(n).await.0 });
            }
            calls.join_all().await
        });
    }
    for took in tasks.join_all().await.into_iter().flatten() {
        delays.record(took.as_micros() as u64).expect("it grows");
    }
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

async fn clients(address: SocketAddr) -> Vec<Client> {
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        clients.push(Client::connect(address).await);
    }
    clients
}

fn measure(workers: usize) {
    let (server, outside) = (runtime(workers), runtime(2));
    let addresses = server.block_on(async { [tokio::spawn(bare()).await, tokio::spawn(gatekeeper()).await] });
    let addresses = addresses.map(|a| a.expect("it starts"));
    outside.block_on(async {
        let both = [clients(addresses[0]).await, clients(addresses[1]).await];
        let (mut rates, mut allowed) = ([Vec::new(), Vec::new()], Vec::new());
        for _ in 0..TURNS {
            for (which, clients) in both.iter().enumerate() {
                let (rate, share) = full(clients).await;
                rates[which].push(rate);
                if which == 1 {
                    allowed.push(share);
                }
            }
        }
        let [bare, ours] = rates.map(middle);
        println!(
            "{workers} workers: bare {bare:.0}/s, weirusher {ours:.0}/s, ratio {:.2}; allowed {:.3}",
            ours / bare,
            middle(allowed)
        );
        let mut delays = [(); 2].map(|()| Histogram::<u64>::new(3).expect("three digits are allowed"));
        for _ in 0..2 {
            for (which, clients) in both.iter().enumerate() {
                paced(clients, ours / 2.0, &mut delays[which]).await;
            }
        }
        for (name, d) in ["bare", "weirusher"].iter().zip(&delays) {
            let at = |share| d.value_at_quantile(share);
            println!(
                "  at {:.0}/s {name:<10} p50 {} us, p99 {} us, p99.9 {} us",
                ours / 2.0,
                at(0.5),
                at(0.99),
                at(0.999)
            );
        }
    });
    server.shutdown_background();
}

fn main() {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    measure(1);
    measure(cores);
}
