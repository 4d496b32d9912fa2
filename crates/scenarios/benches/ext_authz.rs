//! Throughput and latency of external authorisation on loopback, compared with a bare tonic server that allows every
//! check.
//!
//! Run with `cargo bench -p weirusher-scenarios --bench ext_authz`. Both servers run in this process on a runtime of
//! their own, first with one worker thread and then with one per core; the clients run on another runtime. The servers
//! get the same checks in alternating rounds, so that other load on the machine affects both. The result is the ratio
//! between them.

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

/// Checks of one round at full rate.
const CHECKS: usize = 20_000;
/// Duration in seconds of one round at half the full rate.
const HALF_RATE_SECONDS: f64 = 2.0;
/// Rounds at full rate for each server.
const ROUNDS: usize = 5;
/// Client connections to each server.
const CONNECTIONS: usize = 4;
/// Checks in flight on each connection at full rate.
const IN_FLIGHT: usize = 16;
/// Number of customers that the checks are for.
const CUSTOMERS: usize = 1_000;
/// Backends in the endpoint list.
const BACKENDS: usize = 50;

/// A service that allows every check.
struct BareService;

#[tonic::async_trait]
impl Authorization for BareService {
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

async fn start_bare_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let incoming = tonic::transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = tonic::transport::Server::builder().add_service(AuthorizationServer::new(BareService));
    tokio::spawn(server.serve_with_incoming(incoming));
    address
}

/// Starts a gateway with its counter and discovery, which all run until the process ends.
async fn start_gateway() -> SocketAddr {
    let any = "127.0.0.1:0".parse().expect("an address");
    let counter = Counter::start(any, Recorder::new(None)).await.expect("a counter");
    let discovery = Discovery::start(any, Duration::ZERO, Recorder::new(None)).await.expect("discovery");
    let entry = |n: usize| Endpoint::warm(format!("127.0.0.1:{}", 10_000 + n));
    discovery.set((0..BACKENDS).map(entry).collect());
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

/// A client connection with its access log stream.
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

    /// Sends one check, and the report on its attempt if it was allowed. Returns the latency of the check and whether
    /// it was allowed.
    async fn check_once(&mut self, n: usize) -> (Duration, bool) {
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

/// Runs a round at full rate. Returns the checks per second and the fraction of them that was allowed.
async fn run_full_rate(clients: &[Client]) -> (f64, f64) {
    let began = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let each = CHECKS / (clients.len() * IN_FLIGHT);
    for (index, client) in clients.iter().enumerate() {
        for slot in 0..IN_FLIGHT {
            let mut client = client.clone();
            tasks.spawn(async move {
                let mut allowed = 0;
                for n in 0..each {
                    allowed += usize::from(client.check_once((index * IN_FLIGHT + slot) * each + n).await.1);
                }
                allowed
            });
        }
    }
    let mut allowed = 0;
    while let Some(done) = tasks.join_next().await {
        allowed += done.expect("no client panics");
    }
    let sent = each * clients.len() * IN_FLIGHT;
    (sent as f64 / began.elapsed().as_secs_f64(), allowed as f64 / sent as f64)
}

/// Runs a round at `rate` checks per second, and records the latencies in microseconds.
async fn run_paced(clients: &[Client], rate: f64, latencies: &mut Histogram<u64>) {
    let mut tasks = tokio::task::JoinSet::new();
    let each = rate / clients.len() as f64;
    for client in clients {
        let client = client.clone();
        tasks.spawn(async move {
            let (began, mut calls) = (tokio::time::Instant::now(), tokio::task::JoinSet::new());
            for n in 0..(each * HALF_RATE_SECONDS) as usize {
                tokio::time::sleep_until(began + Duration::from_secs_f64(n as f64 / each)).await;
                let mut client = client.clone();
                calls.spawn(async move { client.check_once(n).await.0 });
            }
            calls.join_all().await
        });
    }
    for took in tasks.join_all().await.into_iter().flatten() {
        latencies.record(took.as_micros() as u64).expect("it grows");
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

async fn connect_clients(address: SocketAddr) -> Vec<Client> {
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        clients.push(Client::connect(address).await);
    }
    clients
}

fn measure(workers: usize) {
    let (server_runtime, client_runtime) = (runtime(workers), runtime(2));
    let addresses = server_runtime
        .block_on(async { [tokio::spawn(start_bare_server()).await, tokio::spawn(start_gateway()).await] });
    let addresses = addresses.map(|address| address.expect("it starts"));
    client_runtime.block_on(async {
        let servers = [connect_clients(addresses[0]).await, connect_clients(addresses[1]).await];
        let (mut rates, mut allowed) = ([Vec::new(), Vec::new()], Vec::new());
        for _ in 0..ROUNDS {
            for (which, clients) in servers.iter().enumerate() {
                let (rate, share) = run_full_rate(clients).await;
                rates[which].push(rate);
                if which == 1 {
                    allowed.push(share);
                }
            }
        }
        let [bare, gateway] = rates.map(median);
        println!(
            "{workers} workers: bare {bare:.0}/s, weirusher {gateway:.0}/s, ratio {:.2}; allowed {:.3}",
            gateway / bare,
            median(allowed)
        );
        let mut latencies = [(); 2].map(|()| Histogram::<u64>::new(3).expect("three digits are allowed"));
        for _ in 0..2 {
            for (which, clients) in servers.iter().enumerate() {
                run_paced(clients, gateway / 2.0, &mut latencies[which]).await;
            }
        }
        for (name, latencies) in ["bare", "weirusher"].iter().zip(&latencies) {
            let at = |quantile| latencies.value_at_quantile(quantile);
            println!(
                "  at {:.0}/s {name:<10} p50 {} us, p99 {} us, p99.9 {} us",
                gateway / 2.0,
                at(0.5),
                at(0.99),
                at(0.999)
            );
        }
    });
    server_runtime.shutdown_background();
}

fn main() {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    measure(1);
    measure(cores);
}
