//! The load generator: acts as Envoy proxies and as the clients behind them.
//!
//! For each request it sends an external authorisation check to a gateway, sends an allowed request to the backend that
//! the response names, and reports the end of each attempt on an access log stream. To retry, it sends another
//! check, which carries the ticket of the failed attempt. [`BehaviourProfile`](crate::BehaviourProfile) selects what
//! proxies and clients do wrong.

mod backend_connections;
mod envoy;
mod reports;

use crate::capture::{CaptureEvent, CheckOutcome, ClientOutcome};
use crate::client_request::{AttemptOutcome, ClientRequest, RequestOutcome};
use crate::lock::lock;
use crate::recorder::Recorder;
use backend_connections::BackendConnections;
use envoy_types::pb::envoy::data::accesslog::v3::HttpAccessLogEntry;
use envoy_types::pb::envoy::service::auth::v3::CheckRequest;
use envoy_types::pb::envoy::service::auth::v3::authorization_client::AuthorizationClient;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout, timeout_at};
use tonic::transport::{Channel, Endpoint};

/// Time limit for connecting to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of reports that may wait for the stream to a gateway. Further reports are dropped: the specification allows
/// reports to be lost.
const REPORT_QUEUE: usize = 4096;
/// Maximum number of attempts of one request, in case a gateway allows retries without end.
const MAX_ATTEMPTS: usize = 10;
/// Minimum time left for a retry: with less, the request ends after a failed attempt.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(60);
/// How long to wait for the backend's answer to a ticket that is sent a second time on purpose.
const REPLAY_TIMEOUT: Duration = Duration::from_secs(1);

/// The check client and the report queue of one gateway.
struct Gateway {
    check: AuthorizationClient<Channel>,
    reports: mpsc::Sender<HttpAccessLogEntry>,
}

/// Sends clients' requests to gateways and backends.
pub struct LoadGenerator {
    gateways: Vec<Gateway>,
    recorder: Recorder,
    next_request: AtomicU64,
    next_call: AtomicU64,
    backends: BackendConnections,
    delayed_reports: Mutex<JoinSet<()>>,
    _report_streams: JoinSet<()>,
}

/// When a request must end: as the gateway knows it, and as the client acts.
#[derive(Clone, Copy)]
struct Deadlines {
    /// The deadline that each check states to the gateway.
    announced: Instant,
    /// When the client closes the connection, which may be earlier and is not stated to the gateway.
    client_closes: Instant,
}

/// An attempt that is sent to a backend.
struct Attempt<'a> {
    request: u64,
    backend: &'a str,
    ticket: &'a str,
}

impl LoadGenerator {
    /// Creates a load generator for these gateways. It does not wait for a connection to them.
    ///
    /// # Errors
    /// If the URL of a gateway is invalid.
    pub fn new(gateways: &[SocketAddr], recorder: Recorder) -> Result<Arc<Self>, tonic::transport::Error> {
        let mut report_streams = JoinSet::new();
        let connect = |address: &SocketAddr| {
            let endpoint = Endpoint::from_shared(format!("http://{address}"))?
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_nodelay(true);
            let channel = endpoint.connect_lazy();
            let (reports, entries) = mpsc::channel(REPORT_QUEUE);
            report_streams.spawn(reports::stream_forever(channel.clone(), entries));
            Ok(Gateway { check: AuthorizationClient::new(channel), reports })
        };
        let gateways = gateways.iter().map(connect).collect::<Result<_, tonic::transport::Error>>()?;
        Ok(Arc::new(Self {
            gateways,
            recorder,
            next_request: AtomicU64::new(1),
            next_call: AtomicU64::new(1),
            backends: BackendConnections::default(),
            delayed_reports: Mutex::default(),
            _report_streams: report_streams,
        }))
    }

    /// Sends one client's request, with its checks and attempts, and returns how it ended.
    pub async fn send_request(&self, client: &ClientRequest) -> RequestOutcome {
        let request = self.next_request.fetch_add(1, Relaxed);
        let started = Instant::now();
        let behaviour = client.behaviour;
        self.recorder.record(CaptureEvent::RequestStarted {
            request,
            customer: client.customer.clone(),
            class: client.class,
            units: client.units,
            deadline_seconds: client.deadline_seconds,
            closes_early: behaviour.closes_after_seconds.is_some()
                || behaviour.closes_during_attempt_after_seconds.is_some(),
        });
        let announced = started + Duration::from_secs_f64(client.deadline_seconds);
        let closes_early =
            behaviour.closes_after_seconds.map(|after| started + Duration::from_secs_f64(after));
        let client_closes = closes_early.map_or(announced, |closes| closes.min(announced));
        let (outcome, retry_after_seconds) =
            self.run_attempts(request, client, Deadlines { announced, client_closes }).await;
        self.recorder.record(CaptureEvent::RequestFinished { request, outcome });
        RequestOutcome {
            request,
            outcome,
            retry_after_seconds,
            latency_seconds: started.elapsed().as_secs_f64(),
        }
    }

    /// Sends checks and attempts until the request ends. Returns its outcome, and the wait in seconds that the gateway
    /// advised before a retry.
    async fn run_attempts(
        &self,
        request: u64,
        client: &ClientRequest,
        deadlines: Deadlines,
    ) -> (ClientOutcome, f64) {
        let mut last_ticket: Option<String> = None;
        for _ in 0..MAX_ATTEMPTS {
            let remaining = deadlines.announced.saturating_duration_since(Instant::now());
            let check = envoy::check_request(client, last_ticket.as_deref(), remaining);
            let retry = last_ticket.is_some();
            let Some(outcome) =
                self.check(request, client.gateway, check, retry, deadlines.client_closes).await
            else {
                return (ClientOutcome::ClientClosed, 0.0);
            };
            let (backend, timeout_seconds, ticket) = match outcome {
                CheckOutcome::Allowed { backend, timeout_seconds, ticket } => {
                    (backend, timeout_seconds, ticket)
                }
                CheckOutcome::Rejected { retry_after_seconds } => {
                    return (ClientOutcome::Rejected, retry_after_seconds);
                }
                CheckOutcome::Failed | CheckOutcome::Invalid => return (ClientOutcome::Failed, 0.0),
                CheckOutcome::ConnectionLost => return (ClientOutcome::ConnectionLost, 0.0),
            };
            let sent = Instant::now();
            let limit =
                (sent + Duration::from_secs_f64(timeout_seconds.max(0.0))).min(deadlines.client_closes);
            let attempt = Attempt { request, backend: &backend, ticket: &ticket };
            let ended = self.send_attempt(&attempt, client, limit, deadlines.client_closes).await;
            let remaining = deadlines.client_closes.saturating_duration_since(Instant::now());
            let final_outcome = match ended {
                AttemptOutcome::Responded(200..=299) => Some(ClientOutcome::Served),
                AttemptOutcome::ClientClosed => Some(ClientOutcome::ClientClosed),
                _ if remaining < MIN_TIME_FOR_RETRY => Some(ClientOutcome::Failed),
                _ => None,
            };
            let entry = envoy::log_entry(&ticket, ended, final_outcome.is_some(), sent.elapsed());
            self.report(&attempt, client, entry);
            if let Some(outcome) = final_outcome {
                return (outcome, 0.0);
            }
            last_ticket = Some(ticket);
        }
        (ClientOutcome::Failed, 0.0)
    }

    /// Sends a check to a gateway. Returns `None` if the client closes before the response arrives, which cancels the
    /// call.
    async fn check(
        &self,
        request: u64,
        gateway: usize,
        check: CheckRequest,
        retry: bool,
        client_closes: Instant,
    ) -> Option<CheckOutcome> {
        let call = self.next_call.fetch_add(1, Relaxed);
        self.recorder.record(CaptureEvent::CheckSent { request, call, gateway, retry });
        let mut client = self.gateways[gateway].check.clone();
        match timeout_at(client_closes, client.check(check)).await {
            Ok(response) => {
                let outcome = response.map_or(CheckOutcome::ConnectionLost, |response| {
                    envoy::check_outcome(response.into_inner())
                });
                let recorded = outcome.clone();
                self.recorder.record(CaptureEvent::CheckCompleted {
                    request,
                    call,
                    gateway,
                    outcome: recorded,
                });
                Some(outcome)
            }
            Err(_) => {
                self.recorder.record(CaptureEvent::CheckCancelled { request, call, gateway });
                None
            }
        }
    }

    /// Sends an attempt and waits for its end, until `limit` at the latest. If `limit` is reached, the outcome
    /// is `ClientClosed` if `client_closes` is no later, and `Timeout` otherwise.
    async fn send_attempt(
        &self,
        attempt: &Attempt<'_>,
        client: &ClientRequest,
        limit: Instant,
        client_closes: Instant,
    ) -> AttemptOutcome {
        let behaviour = client.behaviour;
        let sent_ticket = if behaviour.ticket_altered {
            alter_ticket(attempt.ticket, attempt.request)
        } else {
            attempt.ticket.to_string()
        };
        let attempt = Attempt { ticket: &sent_ticket, ..*attempt };
        self.record_attempt(&attempt);
        let closes_during_attempt = behaviour
            .closes_during_attempt_after_seconds
            .map(|after| Instant::now() + Duration::from_secs_f64(after));
        let until = closes_during_attempt.map_or(limit, |closes| closes.min(limit));
        let outcome = match timeout_at(until, self.backends.exchange(&attempt, client)).await {
            Ok(outcome) => outcome,
            Err(_)
                if closes_during_attempt.is_some_and(|closes| closes <= limit) || limit >= client_closes =>
            {
                AttemptOutcome::ClientClosed
            }
            Err(_) => AttemptOutcome::Timeout,
        };
        if behaviour.ticket_replayed {
            self.record_attempt(&attempt);
            let replay = self.backends.exchange(&attempt, client);
            let _ = timeout(REPLAY_TIMEOUT, replay).await; // The capture shows whether the backend admitted it.
        }
        outcome
    }

    fn record_attempt(&self, attempt: &Attempt<'_>) {
        self.recorder.record(CaptureEvent::AttemptSent {
            request: attempt.request,
            backend: attempt.backend.to_string(),
            ticket: attempt.ticket.to_string(),
        });
    }

    /// Reports the end of an attempt, with the faults of the behaviour profile.
    fn report(&self, attempt: &Attempt<'_>, client: &ClientRequest, entry: HttpAccessLogEntry) {
        let behaviour = client.behaviour;
        if behaviour.report_lost {
            return;
        }
        let request = attempt.request;
        let gateway = (client.gateway + usize::from(behaviour.report_misdirected)) % self.gateways.len();
        let reports = self.gateways[gateway].reports.clone();
        let (recorder, ticket) = (self.recorder.clone(), attempt.ticket.to_string());
        let copies = 1 + usize::from(behaviour.report_duplicated);
        let send = move || {
            for _ in 0..copies {
                recorder.record(CaptureEvent::ReportSent { request, gateway, ticket: ticket.clone() });
                let _ = reports.try_send(entry.clone()); // Gateways have to tolerate lost reports.
            }
        };
        if behaviour.report_delay_seconds > 0.0 {
            let delay = Duration::from_secs_f64(behaviour.report_delay_seconds);
            lock(&self.delayed_reports).spawn(async move {
                tokio::time::sleep(delay).await;
                send();
            });
        } else {
            send();
        }
    }
}

/// Returns the ticket with one character between its second and its last dot replaced. Different requests alter
/// different characters, so that a field whose verification is missing is found.
fn alter_ticket(ticket: &str, request: u64) -> String {
    let fields = ticket.find('.').and_then(|dot| ticket[dot + 1..].find('.').map(|len| dot + len + 2));
    let (start, end) = (fields.unwrap_or(0), ticket.rfind('.').unwrap_or(ticket.len()));
    let position = start + request as usize % (end - start).max(1);
    let other = if ticket.as_bytes()[position] == b'A' { "B" } else { "A" };
    format!("{}{other}{}", &ticket[..position], &ticket[position + 1..])
}
