//! Gateway processes killed at each moment around a decision; audited from the sockets.

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
use weirusher::{Endpoint, Lifecycle};
use weirusher_core::{Key, Keyring};
use weirusher_fakes::{
    AuditParameters, BehaviourProfile, CaptureEvent, ClientOutcome, ClientRequest, Counter, Discovery,
    FakeBackend, FakeBackendSpec, Link, LoadGenerator, Recorder,
};
use weirusher_scenarios::{AuditReport, audit};
use weirusher_wire::http1::{ClientCodec, Headers, Request};

const SECRET: &str = "0123456789abcdef0123456789abcdef";
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Limit for what must happen.
const LIMIT: Duration = Duration::from_secs(30);

#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Write for Memory {
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
    front: Link,
    config: PathBuf,
}

struct Site {
    gateways: Vec<GatewayProcess>,
    load_generator: Arc<LoadGenerator>,
    recorder: Recorder,
    memory: Memory,
    _fakes: (Counter, Discovery, FakeBackend, tempfile::TempDir),
}

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

impl Site {
    async fn start(gateways: usize, service_seconds: f64) -> Self {
        let (memory, dir) = (Memory::default(), tempfile::tempdir().unwrap());
        let recorder = Recorder::new(Some(Box::new(memory.clone())));
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
            zone: 0,
            cell: 0,
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
            let front = Link::start(Some(address)).await.unwrap();
            processes.push(GatewayProcess { child, admin, front, config });
        }
        let fronts: Vec<SocketAddr> = processes.iter().map(|p| p.front.address).collect();
        let load_generator = LoadGenerator::new(&fronts, recorder.clone()).unwrap();
        let _fakes = (counter, discovery, backend, dir);
        let site = Self { gateways: processes, load_generator, recorder, memory, _fakes };
        for gateway in 0..gateways {
            site.until(gateway, "/process/lists", 1).await;
        }
        site
    }

    /// Kills a gateway and starts it again, as a supervisor does.
    fn kill(&mut self, gateway: usize) {
        self.recorder.record(CaptureEvent::GatewayRunning { gateway, running: false });
        let process = &mut self.gateways[gateway];
        process.child.kill().unwrap();
        process.child.wait().unwrap();
        process.front.reset();
        let (child, address, admin) = start_process(&process.config);
        (process.child, process.admin) = (child, admin);
        process.front.retarget(Some(address));
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

    async fn figure(&self, gateway: usize, pointer: &str) -> u64 {
        let stream = TcpStream::connect(self.gateways[gateway].admin).await.unwrap();
        let mut framed = Framed::new(stream, ClientCodec::default());
        let (method, path, headers) = ("GET".into(), "/stats".into(), Headers::default());
        framed.send(Request { method, path, headers, ..Request::default() }).await.unwrap();
        let page: Value = serde_json::from_slice(&framed.next().await.unwrap().unwrap().body).unwrap();
        page.pointer(pointer).and_then(Value::as_u64).unwrap_or_else(|| panic!("{pointer}: {page}"))
    }

    async fn until(&self, gateway: usize, pointer: &str, least: u64) {
        let end = Instant::now() + LIMIT;
        while self.figure(gateway, pointer).await < least {
            assert!(Instant::now() < end, "{pointer} did not reach {least}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn capture(&self) -> String {
        self.recorder.flush();
        String::from_utf8(self.memory.0.lock().unwrap().clone()).unwrap()
    }

    fn audit(&self) -> AuditReport {
        let capture = self.capture();
        let report = audit(capture.as_bytes()).unwrap();
        assert_eq!(report.violation_count, 0, "{}\n{capture}", report.summary());
        report
    }

    async fn until_runs(&self, least: usize) {
        let end = Instant::now() + LIMIT;
        while self.capture().matches("\"runs\"").count() < least {
            assert!(Instant::now() < end, "there were fewer than {least} runs");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.gateways {
            let _ = process.child.kill(); // It may have ended.
            let _ = process.child.wait();
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_runs_where_a_gateway_is_killed_before_its_answer_leaves() {
    let mut site = Site::start(1, 0.02).await;
    site.gateways[0].front.set(|f| f.stall_from_target = true);
    let pending = site.send(0, BehaviourProfile::default());
    site.until(0, "/ledger/allowed", 1).await;
    site.kill(0);
    site.gateways[0].front.set(|f| f.stall_from_target = false);
    assert_eq!(pending.await.unwrap(), ClientOutcome::ConnectionLost);
    assert_eq!(site.audit().admissions.get("runs"), None, "the answer never left");
    // The client sends it again, and it runs once.
    site.until(0, "/process/lists", 1).await;
    assert_eq!(site.send(0, BehaviourProfile::default()).await.unwrap(), ClientOutcome::Served);
    assert_eq!(site.audit().admissions["runs"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_response_comes_once_where_a_gateway_is_killed_during_the_attempt() {
    let mut site = Site::start(1, 0.4).await;
    let pending = site.send(0, BehaviourProfile::default());
    site.until_runs(1).await;
    site.kill(0);
    assert_eq!(pending.await.unwrap(), ClientOutcome::Served);
    assert_eq!(site.audit().admissions["runs"], 1);
    // Its report names an earlier incarnation: the new one verifies and counts it, and closes nothing.
    site.until(0, "/ledger/foreign_reports", 1).await;
    assert_eq!(site.figure(0, "/ledger/reported").await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_report_to_an_earlier_incarnation_is_recognised_as_foreign() {
    let mut site = Site::start(1, 0.02).await;
    assert_eq!(
        site.send(0, BehaviourProfile { report_delay_seconds: 2.0, ..BehaviourProfile::default() })
            .await
            .unwrap(),
        ClientOutcome::Served
    );
    assert_eq!(site.figure(0, "/ledger/reported").await, 0, "the report has not arrived yet");
    site.kill(0);
    site.until(0, "/ledger/foreign_reports", 1).await;
    assert_eq!((site.figure(0, "/owed").await, site.figure(0, "/open").await), (0, 0));
    assert_eq!(site.audit().admissions["runs"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_request_has_one_response_and_one_run_where_half_of_the_gateways_are_killed() {
    let mut site = Site::start(4, 0.3).await;
    let pending: Vec<_> = (0..40).map(|n| site.send(n % 4, BehaviourProfile::default())).collect();
    site.until_runs(4).await;
    site.kill(0);
    site.kill(2);
    let mut served = 0;
    for outcome in pending {
        // With one backend, a gateway of four has few attempts in flight and rejects the rest.
        match outcome.await.unwrap() {
            ClientOutcome::Served => served += 1,
            ClientOutcome::ConnectionLost | ClientOutcome::Rejected => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(served >= 4, "{served} served: two gateways were running");
    assert_eq!(site.audit().admissions["runs"], served, "what ran was answered");
}
