//! Test setup on loopback: gateways and fakes in this process, with a capture in memory.

use futures::{SinkExt, StreamExt};
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use weirusher::{Endpoint, Lifecycle, Location};
use weirusher_config::Config;
use weirusher_core::{Key, Keyring};
use weirusher_ext_authz::GatewayHandle;
use weirusher_fakes::{
    AuditParameters, BehaviourProfile, CaptureEvent, ClientRequest, Counter, Discovery, FakeBackend,
    FakeBackendSpec, Link, LoadGenerator, Recorder, RequestOutcome,
};
use weirusher_scenarios::{AuditReport, audit};
use weirusher_wire::http1::{ClientCodec, Headers, Request};

const SECRET: &str = "0123456789abcdef0123456789abcdef";
const ANY_PORT: &str = "127.0.0.1:0";
/// Time limit for waiting on an expected condition; never reached in a passing run.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Writer that keeps the capture in memory.
#[derive(Clone, Default)]
struct MemoryCapture(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryCapture {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Gateways, the fakes they use, and the capture of their traffic.
pub struct Site {
    pub gateways: Vec<GatewayHandle>,
    /// Links from the load generator to the gateways, kept open.
    _fronts: Vec<Link>,
    pub counter: Counter,
    discovery: Discovery,
    pub backends: Vec<FakeBackend>,
    pub load_generator: Arc<LoadGenerator>,
    recorder: Recorder,
    memory: MemoryCapture,
}

/// Parameters of a site.
pub struct SiteOptions {
    pub gateways: usize,
    pub service_seconds: f64,
    /// TOML lines of the only plan.
    pub plan: &'static str,
    /// TOML lines of the only class.
    pub class: &'static str,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            gateways: 1,
            service_seconds: 0.005,
            plan: "rate = 100\nburst = 100",
            class: "aim_ms = 1000\npatience_ms = 3000",
        }
    }
}

fn keyring() -> Keyring {
    Keyring::new(vec![Key { id: 1, secret: SECRET.as_bytes().to_vec() }]).unwrap()
}

fn audit_parameters(gateways: usize) -> AuditParameters {
    AuditParameters {
        drain_grace_seconds: 0.5,
        plans: vec![[1e6, 1e6, 0.0, 0.0].into()],
        customers: [("school".to_string(), 0)].into(),
        effects: vec!["safe".into()],
        ceiling_slack: 0.1,
        gateways,
        counter_available: false,
        largest_request_units: 1.0,
        idempotency_window_seconds: 0.0,
        slow_start: None,
    }
}

fn backend_spec(service_seconds: f64) -> FakeBackendSpec {
    FakeBackendSpec {
        cores: 4,
        service_seconds,
        queue_limit: 1000,
        slow_start: None,
        keyring: keyring(),
        advertised_address: String::new(),
        ticket_header: "x-weirusher-ticket".into(),
        units_header: "x-units".into(),
    }
}

impl Site {
    pub async fn start(options: SiteOptions) -> Self {
        let memory = MemoryCapture::default();
        let recorder = Recorder::new(Some(Box::new(memory.clone())));
        recorder.record(CaptureEvent::RunStarted {
            name: "test".into(),
            parameters: audit_parameters(options.gateways),
        });
        let counter = Counter::start(ANY_PORT.parse().unwrap(), recorder.clone()).await.unwrap();
        let discovery =
            Discovery::start(ANY_PORT.parse().unwrap(), Duration::ZERO, recorder.clone()).await.unwrap();
        let mut backends = Vec::new();
        for seed in 0..2 {
            let spec = backend_spec(options.service_seconds);
            backends.push(
                FakeBackend::start(ANY_PORT.parse().unwrap(), spec, recorder.clone(), seed).await.unwrap(),
            );
        }
        let (mut gateways, mut fronts) = (Vec::new(), Vec::new());
        for number in 0..options.gateways {
            let text = format!(
                "default_plan = \"only\"\n[instance]\nnumber = {number}\ngateways = {}\n[listen]\next_authz = \"{ANY_PORT}\"\n\
                 streams = 100\n[[tickets.keys]]\nid = 1\nsecret = \"{SECRET}\"\n[counter]\naddress = \"{}\"\n\
                 [discovery]\naddress = \"{}\"\n[[plan]]\nname = \"only\"\n{}\n[[class]]\nname = \"only\"\n{}\n",
                options.gateways, counter.address, discovery.address, options.plan, options.class,
            );
            let config = Config::parse(&text).unwrap_or_else(|p| panic!("{}", p.render("", &text)));
            let running = weirusher_ext_authz::start(config).await.unwrap();
            fronts.push(Link::start(Some(running.ext_authz)).await.unwrap());
            gateways.push(running);
        }
        let front_addresses: Vec<SocketAddr> = fronts.iter().map(|f| f.address).collect();
        let load_generator = LoadGenerator::new(&front_addresses, recorder.clone()).unwrap();
        let site = Self {
            gateways,
            _fronts: fronts,
            counter,
            discovery,
            backends,
            load_generator,
            recorder,
            memory,
        };
        site.publish(&[Lifecycle::Running; 2]);
        for gateway in 0..site.gateways.len() {
            site.wait_until(gateway, "/process/lists", |n| n >= 1).await;
        }
        site
    }

    /// Publishes an endpoint list that has the backends in these lifecycle states.
    pub fn publish(&self, lifecycles: &[Lifecycle]) {
        let endpoint = |(backend, lifecycle): (&FakeBackend, &Lifecycle)| Endpoint {
            id: backend.address.to_string().into(),
            location: Location::from_numbers(0, 0),
            started: 0.0,
            lifecycle: *lifecycle,
        };
        self.discovery.set(self.backends.iter().zip(lifecycles).map(endpoint).collect());
    }

    pub fn request(&self, behaviour: BehaviourProfile) -> ClientRequest {
        ClientRequest {
            customer: "school".into(),
            class: 0,
            path: "/only".into(),
            units: 1.0,
            deadline_seconds: 3.0,
            gateway: 0,
            behaviour,
        }
    }

    pub async fn send(&self, behaviour: BehaviourProfile) -> RequestOutcome {
        self.load_generator.send_request(&self.request(behaviour)).await
    }

    /// Fetches a gateway's statistics from its admin page.
    pub async fn stats(&self, gateway: usize) -> Value {
        let stream = TcpStream::connect(self.gateways[gateway].admin).await.unwrap();
        let mut framed = Framed::new(stream, ClientCodec::default());
        let request = Request {
            method: "GET".into(),
            path: "/stats".into(),
            headers: Headers::default(),
            ..Request::default()
        };
        framed.send(request).await.unwrap();
        serde_json::from_slice(&framed.next().await.unwrap().unwrap().body).unwrap()
    }

    /// Waits until a value of a gateway's statistics, given as a JSON pointer, meets a condition.
    pub async fn wait_until(&self, gateway: usize, pointer: &str, holds: impl Fn(u64) -> bool) {
        let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let stats = self.stats(gateway).await;
            let value = stats
                .pointer(pointer)
                .and_then(Value::as_u64)
                .unwrap_or_else(|| panic!("{pointer}: {stats}"));
            if holds(value) {
                return;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "timed out waiting for {pointer}, which is {value}: {stats}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until no gateway has pending requests or attempts.
    pub async fn wait_until_idle(&self) {
        for gateway in 0..self.gateways.len() {
            self.wait_until(gateway, "/owed", |n| n == 0).await;
            self.wait_until(gateway, "/open", |n| n == 0).await;
        }
    }

    pub fn capture(&self) -> String {
        self.recorder.flush();
        String::from_utf8(self.memory.0.lock().unwrap().clone()).unwrap()
    }

    pub fn audit(&self) -> AuditReport {
        audit(self.capture().as_bytes()).unwrap()
    }

    /// Asserts that the audit of the capture finds no violation.
    pub fn assert_rules_kept(&self) {
        let report = self.audit();
        assert_eq!(report.violation_count, 0, "{}\n{}", report.summary(), self.capture());
    }
}
