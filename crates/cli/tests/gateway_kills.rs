//! Gateway processes that are killed before, during and after the handling of a request. The traffic that the fake
//! servers and clients captured on their sockets is audited.

use futures::{SinkExt, StreamExt};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use weirusher::{Endpoint, Lifecycle, Location};
use weirusher_core::{Key, Keyring};
use weirusher_fakes::{
    AuditParameters, BehaviourProfile, CaptureEvent, ClientOutcome, ClientRequest, Counter, Discovery,
    FakeBackend, FakeBackendSpec, Link, LoadGenerator, Recorder,
};
use weirusher_scenarios::{AuditReport, audit};
use weirusher_wire::http1::{ClientCodec, Headers, Request};

const SECRET: &str = "0123456789abcdef0123456789abcdef";
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Time limit for conditions that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A buffer that a capture is written to.
#[derive(Clone, Default)]
struct CaptureBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for CaptureBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

struct GatewayProcess {
    child: Child,
    admin: SocketAddr,
    /// The link through which the load generator reaches the gateway; it keeps its address when the gateway restarts.
    link: Link,
    config: PathBuf,
}

/// Gateway processes, and the fake servers and load generator that they are tested with.
struct Harness {
    gateways: Vec<GatewayProcess>,
    load_generator: Arc<LoadGenerator>,
    recorder: Recorder,
    buffer: CaptureBuffer,
    _fakes: (Counter, Discovery, FakeBackend, tempfile::TempDir),
}

/// Starts a gateway process. Returns it with the addresses of external authorisation and the admin server.
fn start_process(config: &PathBuf) -> (Child, SocketAddr, SocketAddr) {
    let exe = env!("CARGO_BIN_EXE_weirusher");
    let mut child =
        Command::new(exe).args(["run", "--config"]).arg(config).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let printed: Value = serde_json::from_str(&line).unwrap();
    let address = |name: &str| printed[name].as_str().unwrap().parse().unwrap();
    (child, address("ext_authz"), address("admin"))
}

impl Harness {
    /// Starts the gateways with one backend, and waits until each has its endpoint list.
    async fn start(gateways: usize, service_seconds: f64) -> Self {
        let (buffer, dir) = (CaptureBuffer::default(), tempfile::tempdir().unwrap());
        let recorder = Recorder::new(Some(Box::new(buffer.clone())));
        let parameters = AuditParameters {
            plans: vec![[100.0, 100.0, 0.0, 0.0].into()],
            customers: [("school".to_string(), 0)].into(),
            effects: vec!["unsafe".into()],
            largest_request_units: 1.0,
            ..AuditParameters::default()
        };
        recorder.record(CaptureEvent::RunStarted { name: "gateway-kills".into(), parameters });
        let counter = Counter::start(ANY_PORT, recorder.clone()).await.unwrap();
        let discovery = Discovery::start(ANY_PORT, Duration::ZERO, recorder.clone()).await.unwrap();
        let key = Key { id: 1, secret: SECRET.as_bytes().to_vec() };
        let spec = FakeBackendSpec {
            cores: 50,
            service_seconds,
            queue_limit: 1000,
            slow_start: None,
            keyring: Keyring::new(vec![key]).unwrap(),
            advertised_address: String::new(),
            ticket_header: "x-weirusher-ticket".into(),
            units_header: "x-units".into(),
        };
        let backend = FakeBackend::start(ANY_PORT, spec, recorder.clone(), 1).await.unwrap();
        discovery.set(vec![Endpoint {
            id: backend.address.to_string().into(),
            location: Location::from_numbers(0, 0),
            started: 0.0,
            lifecycle: Lifecycle::Running,
        }]);
        let mut processes = Vec::new();
        for number in 0..gateways {
            let config = dir.path().join(format!("{number}.toml"));
            let text = format!(
                "default_plan = \"only\"\n[instance]\nnumber = {number}\ngateways = {gateways}\n[listen]\n\
                 ext_authz = \"{ANY_PORT}\"\nadmin = \"{ANY_PORT}\"\n[[tickets.keys]]\nid = 1\nsecret = \"{SECRET}\"\n\
                 [counter]\naddress = \"{}\"\n[discovery]\naddress = \"{}\"\n[[plan]]\nname = \"only\"\nrate = 100\n\
                 burst = 100\n[[class]]\nname = \"only\"\naim_ms = 4000\npatience_ms = 8000\neffect = \"unsafe\"\n",
                counter.address, discovery.address,
            );
            std::fs::write(&config, text).unwrap();
            let (child, address, admin) = start_process(&config);
            let link = Link::start(Some(address)).await.unwrap();
            processes.push(GatewayProcess { child, admin, link, config });
        }
        let links: Vec<SocketAddr> = processes.iter().map(|p| p.link.address).collect();
        let load_generator = LoadGenerator::new(&links, recorder.clone()).unwrap();
        let _fakes = (counter, discovery, backend, dir);
        let harness = Self { gateways: processes, load_generator, recorder, buffer, _fakes };
        for gateway in 0..gateways {
            harness.wait_for_statistic(gateway, "/process/lists", 1).await;
        }
        harness
    }

    /// Kills a gateway and restarts it, as a supervisor does.
    fn kill_and_restart(&mut self, gateway: usize) {
        self.recorder.record(CaptureEvent::GatewayRunning { gateway, running: false });
        let process = &mut self.gateways[gateway];
        process.child.kill().unwrap();
        process.child.wait().unwrap();
        process.link.reset();
        let (child, address, admin) = start_process(&process.config);
        (process.child, process.admin) = (child, admin);
        process.link.retarget(Some(address));
        self.recorder.record(CaptureEvent::GatewayRunning { gateway, running: true });
    }

    /// Sends a client's request to a gateway.
    fn send(&self, gateway: usize, behaviour: BehaviourProfile) -> tokio::task::JoinHandle<ClientOutcome> {
        let load_generator = self.load_generator.clone();
        let request = ClientRequest {
            customer: "school".into(),
            class: 0,
            path: "/only".into(),
            units: 1.0,
            deadline_seconds: 8.0,
            gateway,
            behaviour,
        };
        tokio::spawn(async move { load_generator.send_request(&request).await.outcome })
    }

    /// Reads a number from the statistics page of a gateway, by JSON pointer.
    async fn statistic(&self, gateway: usize, pointer: &str) -> u64 {
        let stream = TcpStream::connect(self.gateways[gateway].admin).await.unwrap();
        let mut framed = Framed::new(stream, ClientCodec::default());
        let (method, path, headers) = ("GET".into(), "/stats".into(), Headers::default());
        framed.send(Request { method, path, headers, ..Request::default() }).await.unwrap();
        let page: Value = serde_json::from_slice(&framed.next().await.unwrap().unwrap().body).unwrap();
        page.pointer(pointer).and_then(Value::as_u64).unwrap_or_else(|| panic!("{pointer}: {page}"))
    }

    /// Waits until a number on the statistics page reaches `minimum`.
    async fn wait_for_statistic(&self, gateway: usize, pointer: &str, minimum: u64) {
        let end = Instant::now() + TEST_TIMEOUT;
        while self.statistic(gateway, pointer).await < minimum {
            assert!(Instant::now() < end, "{pointer} did not reach {minimum}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// The capture so far, as lines of JSON.
    fn capture(&self) -> String {
        self.recorder.flush();
        String::from_utf8(self.buffer.0.lock().unwrap().clone()).unwrap()
    }

    /// Audits the capture so far, which must not violate a rule.
    fn audit(&self) -> AuditReport {
        let capture = self.capture();
        let report = audit(capture.as_bytes()).unwrap();
        assert_eq!(report.violation_count, 0, "{}\n{capture}", report.summary());
        report
    }

    /// Waits until the backend has executed at least `minimum` requests.
    async fn wait_for_executions(&self, minimum: usize) {
        let end = Instant::now() + TEST_TIMEOUT;
        while self.capture().matches("\"runs\"").count() < minimum {
            assert!(Instant::now() < end, "the backend executed fewer than {minimum} requests");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        for process in &mut self.gateways {
            let _ = process.child.kill(); // It may have exited already.
            let _ = process.child.wait();
        }
    }
}

/// The gateway admits the request, and is killed before its response is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_admission_was_not_sent_is_not_executed() {
    let mut harness = Harness::start(1, 0.02).await;
    harness.gateways[0].link.update_fault(|f| f.stall_from_target = true);
    let pending = harness.send(0, BehaviourProfile::default());
    harness.wait_for_statistic(0, "/ledger/allowed", 1).await;
    harness.kill_and_restart(0);
    harness.gateways[0].link.update_fault(|f| f.stall_from_target = false);
    assert_eq!(pending.await.unwrap(), ClientOutcome::ConnectionLost);
    assert_eq!(harness.audit().admissions.get("runs"), None, "executed though the admission was not sent");
    // The client sends the request again, and it is executed once.
    harness.wait_for_statistic(0, "/process/lists", 1).await;
    assert_eq!(harness.send(0, BehaviourProfile::default()).await.unwrap(), ClientOutcome::Served);
    assert_eq!(harness.audit().admissions["runs"], 1);
}

/// The client still gets its response, and the backend executes the request once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_kill_during_the_attempt_does_not_affect_the_request() {
    let mut harness = Harness::start(1, 0.4).await;
    let pending = harness.send(0, BehaviourProfile::default());
    harness.wait_for_executions(1).await;
    harness.kill_and_restart(0);
    assert_eq!(pending.await.unwrap(), ClientOutcome::Served);
    assert_eq!(harness.audit().admissions["runs"], 1);
    // The report of the attempt names an earlier incarnation: the new one verifies and counts it, but closes no entry.
    harness.wait_for_statistic(0, "/ledger/foreign_reports", 1).await;
    assert_eq!(harness.statistic(0, "/ledger/reported").await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_report_for_an_earlier_incarnation_is_counted_as_foreign() {
    let mut harness = Harness::start(1, 0.02).await;
    assert_eq!(
        harness
            .send(0, BehaviourProfile { report_delay_seconds: 2.0, ..BehaviourProfile::default() })
            .await
            .unwrap(),
        ClientOutcome::Served
    );
    assert_eq!(harness.statistic(0, "/ledger/reported").await, 0, "the report has not arrived yet");
    harness.kill_and_restart(0);
    harness.wait_for_statistic(0, "/ledger/foreign_reports", 1).await;
    assert_eq!((harness.statistic(0, "/owed").await, harness.statistic(0, "/open").await), (0, 0));
    assert_eq!(harness.audit().admissions["runs"], 1);
}

/// Each served request was executed exactly once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kills_of_half_of_the_gateways_execute_no_request_twice() {
    let mut harness = Harness::start(4, 0.3).await;
    let pending: Vec<_> = (0..40).map(|n| harness.send(n % 4, BehaviourProfile::default())).collect();
    harness.wait_for_executions(4).await;
    harness.kill_and_restart(0);
    harness.kill_and_restart(2);
    let mut served = 0;
    for outcome in pending {
        // With a single backend, each of four gateways may have few attempts in flight, and rejects the other requests.
        match outcome.await.unwrap() {
            ClientOutcome::Served => served += 1,
            ClientOutcome::ConnectionLost | ClientOutcome::Rejected => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(served >= 4, "{served} served, though two gateways kept running");
    assert_eq!(
        harness.audit().admissions["runs"],
        served,
        "each served request must be executed exactly once"
    );
}
