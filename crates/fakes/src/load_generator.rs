//! The load generator: plays Envoy proxies and the clients behind them.
//!
//! It asks a gateway by external authorisation, sends what is allowed to the backend that the answer names, reports the
//! end of each attempt on an access log stream, and asks again with the ticket after an attempt that failed.
//! [`BehaviourProfile`](crate::BehaviourProfile) says what proxies and clients do wrong.

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

/// Limit for a connection to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reports that may wait for a stream; further ones are lost, as the specification allows.
const REPORT_QUEUE: usize = 4096;
/// Attempts of one request at most: a guard against a gateway that allows retries for ever.
const MAX_ATTEMPTS: usize = 10;
/// No retry is asked for with less time than this before the deadline.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(60);
/// Limit for the second use of a ticket.
const REPLAY_TIMEOUT: Duration = Duration::from_secs(1);

/// The clients of one gateway.
struct Gateway {
    check: AuthorizationClient<Channel>,
    reports: mpsc::Sender<HttpAccessLogEntry>,
}

/// Plays clients' requests against gateways and backends.
pub struct LoadGenerator {
    gateways: Vec<Gateway>,
    recorder: Recorder,
    next_request: AtomicU64,
    next_call: AtomicU64,
    backends: BackendConnections,
    delayed_reports: Mutex<JoinSet<()>>,
    _report_streams: JoinSet<()>,
}

/// When a request ends at the latest.
#[derive(Clone, Copy)]
struct Deadlines {
    /// The deadline that gateways are notified of.
    announced: Instant,
    /// When the client closes, which no gateway is notified of.
    closes: Instant,
}

/// An attempt at a backend.
struct Attempt<'a> {
    request: u64,
    backend: &'a str,
    ticket: &'a str,
}

impl LoadGenerator {
    /// A load generator for these gateways; it connects with the first request.
    ///
    /// # Errors
    /// An address makes no URL.
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

    /// Plays one client's request to its end.
    pub async fn send_request(&self, client: &ClientRequest) -> RequestOutcome {
        let request = self.next_request.fetch_add(1, Relaxed);
        let began = Instant::now();
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
        let announced = began + Duration::from_secs_f64(client.deadline_seconds);
        let closes = behaviour.closes_after_seconds.map(|after| began + Duration::from_secs_f64(after));
        let closes = closes.map_or(announced, |closes| closes.min(announced));
        let (outcome, retry_after_seconds) =
            self.run_attempts(request, client, Deadlines { announced, closes }).await;
        self.recorder.record(CaptureEvent::RequestFinished { request, outcome });
        RequestOutcome {
            request,
            outcome,
            retry_after_seconds,
            latency_seconds: began.elapsed().as_secs_f64(),
        }
    }

    /// Asks and attempts until the request ends: how, and the advised wait in seconds.
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
            let Some(outcome) = self.check(request, client.gateway, check, retry, deadlines.closes).await
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
            let limit = (sent + Duration::from_secs_f64(timeout_seconds.max(0.0))).min(deadlines.closes);
            let attempt = Attempt { request, backend: &backend, ticket: &ticket };
            let ended = self.send_attempt(&attempt, client, limit, deadlines.closes).await;
            let remaining = deadlines.closes.saturating_duration_since(Instant::now());
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

    /// Asks a gateway for a decision; `None` when the client closed first, which cancels the call.
    async fn check(
        &self,
        request: u64,
        gateway: usize,
        check: CheckRequest,
        retry: bool,
        closes: Instant,
    ) -> Option<CheckOutcome> {
        let call = self.next_call.fetch_add(1, Relaxed);
        self.recorder.record(CaptureEvent::CheckSent { request, call, gateway, retry });
        let mut client = self.gateways[gateway].check.clone();
        match timeout_at(closes, client.check(check)).await {
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

    /// Sends an attempt, and waits for its end until `limit` at most.
    async fn send_attempt(
        &self,
        attempt: &Attempt<'_>,
        client: &ClientRequest,
        limit: Instant,
        closes: Instant,
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
            Err(_) if closes_during_attempt.is_some_and(|closes| closes <= limit) || limit >= closes => {
                AttemptOutcome::ClientClosed
            }
            Err(_) => AttemptOutcome::Timeout,
        };
        if behaviour.ticket_replayed {
            self.record_attempt(&attempt);
            let replay = self.backends.exchange(&attempt, client);
            let _ = timeout(REPLAY_TIMEOUT, replay).await; // The capture shows what the backend made of it.
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

    /// Reports the end of an attempt, as the behaviour profile has it.
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
                let _ = reports.try_send(entry.clone()); // A gateway has to bear lost reports.
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

/// The ticket with one character of its fields changed; another one for each request, since any of them may be the one
/// that is not verified.
fn alter_ticket(ticket: &str, request: u64) -> String {
    let fields = ticket.find('.').and_then(|at| ticket[at + 1..].find('.').map(|more| at + more + 2));
    let (first, last) = (fields.unwrap_or(0), ticket.rfind('.').unwrap_or(ticket.len()));
    let at = first + request as usize % (last - first).max(1);
    let other = if ticket.as_bytes()[at] == b'A' { "B" } else { "A" };
    format!("{}{other}{}", &ticket[..at], &ticket[at + 1..])
}
