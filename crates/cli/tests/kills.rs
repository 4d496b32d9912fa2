//! Gateways, as real processes, killed at each moment around a decision; judged from the sockets.

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
    BehaviourProfile, Counter, Discovery, Fact, FakeBackend, FakeBackendSpec, Final, Link, LoadGenerator,
    Recorder, RuleBook, Try,
};
use weirusher_scenarios::{Audit, audit};
use weirusher_wire::http1::{ClientCodec, Headers, Request};

const SECRET: &str = "0123456789abcdef0123456789abcdef";
const ANYWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// A generous limit for whatever must come about.
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

struct Process {
    child: Child,
    admin: SocketAddr,
    front: Link,
    config: PathBuf,
}

struct Site {
    gateways: Vec<Process>,
    edge: Arc<LoadGenerator>,
    recorder: Recorder,
    memory: Memory,
    _world: (Counter, Discovery, FakeBackend, tempfile::TempDir),
}

fn launch(config: &PathBuf) -> (Child, SocketAddr, SocketAddr) {
    let exe = env!("CARGO_BIN_EXE_weirusher");
    let mut child =
        Command::new(exe).args(["run", "--config"]).arg(config).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let said: Value = serde_json::from_str(&line).unwrap();
    let address = |name: &str| said[name].as_str().unwrap().parse().unwrap();
    (child, address("ext_authz"), address("admin"))
}

impl Site {
    async fn start(gateways: usize, service: f64) -> Self {
        let (memory, dir) = (Memory::default(), tempfile::tempdir().unwrap());
        let recorder = Recorder::new(Some(Box::new(memory.clone())));
        let rules = RuleBook {
            plans: vec![[100.0, 100.0, 0.0, 0.0]],
            customers: [("school".to_string(), 0)].into(),
            effects: vec!["unsafe".into()],
            max_units: 1.0,
            ..RuleBook::default()
        };
        recorder.note(Fact::Day { name: "kills".into(), rules });
        let counter = Counter::start(ANYWHERE, recorder.clone()).await.unwrap();
        let discovery = Discovery::start(ANYWHERE, Duration::ZERO, recorder.clone()).await.unwrap();
        let key = Key { id: 1, secret: SECRET.as_bytes().to_vec() };
        let spec = FakeBackendSpec {
            cores: 50,
            service,
            queue: 1000,
            cold: None,
            ring: Keyring::new(vec![key]).unwrap(),
            me: String::new(),
            headers: ["x-weirusher-ticket".into(), "x-units".into()],
        };
        let checker = FakeBackend::start(ANYWHERE, spec, recorder.clone(), 1).await.unwrap();
        discovery.set(vec![Endpoint {
            id: checker.address.to_string().into(),
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
                 ext_authz = \"{ANYWHERE}\"\nadmin = \"{ANYWHERE}\"\n[[tickets.keys]]\nid = 1\nsecret = \"{SECRET}\"\n\
                 [counter]\naddress = \"{}\"\n[discovery]\naddress = \"{}\"\n[[plan]]\nname = \"only\"\nrate = 100\n\
                 burst = 100\n[[class]]\nname = \"only\"\naim_ms = 4000\npatience_ms = 8000\neffect = \"unsafe\"\n",
                counter.address, discovery.address,
            );
            std::fs::write(&config, text).unwrap();
            let (child, address, admin) = launch(&config);
            let front = Link::start(Some(address)).await.unwrap();
            processes.push(Process { child, admin, front, config });
        }
        let fronts: Vec<SocketAddr> = processes.iter().map(|p| p.front.address).collect();
        let edge = LoadGenerator::new(&fronts, recorder.clone()).unwrap();
        let _world = (counter, discovery, checker, dir);
        let site = Self { gateways: processes, edge, recorder, memory, _world };
        for gk in 0..gateways {
            site.until(gk, "/process/lists", 1).await;
        }
        site
    }

    /// Kills a gateway and starts it anew, as a supervisor would.
    fn kill(&mut self, gk: usize) {
        self.recorder.note(Fact::Gatekeeper { gk, running: false });
        let process = &mut self.gateways[gk];
        process.child.kill().unwrap();
        process.child.wait().unwrap();
        process.front.reset();
        let (child, address, admin) = launch(&process.config);
        (process.child, process.admin) = (child, admin);
        process.front.retarget(Some(address));
        self.recorder.note(Fact::Gatekeeper { gk, running: true });
    }

    fn begin(&self, gk: usize, habits: BehaviourProfile) -> tokio::task::JoinHandle<Final> {
        let edge = self.edge.clone();
        let class = (0, "/only".to_string());
        let a_try = Try { customer: "school".into(), class, units: 1.0, patience: 8.0, gk, habits };
        tokio::spawn(async move { edge.play(&a_try).await.end })
    }

    async fn figure(&self, gk: usize, pointer: &str) -> u64 {
        let stream = TcpStream::connect(self.gateways[gk].admin).await.unwrap();
        let mut framed = Framed::new(stream, ClientCodec::default());
        let (method, path, headers) = ("GET".into(), "/stats".into(), Headers::default());
        framed.send(Request { method, path, headers, ..Request::default() }).await.unwrap();
        let page: Value = serde_json::from_slice(&framed.next().await.unwrap().unwrap().body).unwrap();
        page.pointer(pointer).and_then(Value::as_u64).unwrap_or_else(|| panic!("{pointer}: {page}"))
    }

    async fn until(&self, gk: usize, pointer: &str, least: u64) {
        let end = Instant::now() + LIMIT;
        while self.figure(gk, pointer).await < least {
            assert!(Instant::now() < end, "{pointer} never came to {least}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn capture(&self) -> String {
        self.recorder.flush();
        String::from_utf8(self.memory.0.lock().unwrap().clone()).unwrap()
    }

    fn audit(&self) -> Audit {
        let capture = self.capture();
        let audit = audit(capture.as_bytes()).unwrap();
        assert_eq!(audit.broken, 0, "{}\n{capture}", audit.verdict());
        audit
    }

    async fn runs(&self, least: usize) {
        let end = Instant::now() + LIMIT;
        while self.capture().matches("\"runs\"").count() < least {
            assert!(Instant::now() < end, "never came to {least} runs");
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
async fn killed_after_deciding_before_the_answer_went_out_nothing_ran() {
    let mut site = Site::start(1, 0.02).await;
    site.gateways[0].front.set(|f| f.stall_down = true);
    let playing = site.begin(0, BehaviourProfile::default());
    site.until(0, "/ledger/allowed", 1).await;
    site.kill(0);
    site.gateways[0].front.set(|f| f.stall_down = false);
    assert_eq!(playing.await.unwrap(), Final::Broken);
    assert_eq!(site.audit().doors.get("runs"), None, "its answer never left");
    // The client asks again, and its request runs, once.
    site.until(0, "/process/lists", 1).await;
    assert_eq!(site.begin(0, BehaviourProfile::default()).await.unwrap(), Final::Served);
    assert_eq!(site.audit().doors["runs"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_while_the_checker_works_the_answer_still_comes_once() {
    let mut site = Site::start(1, 0.4).await;
    let playing = site.begin(0, BehaviourProfile::default());
    site.runs(1).await;
    site.kill(0);
    assert_eq!(playing.await.unwrap(), Final::Served);
    assert_eq!(site.audit().doors["runs"], 1);
    // Its report names an earlier life: verified and counted by the new one, and it closes nothing there.
    site.until(0, "/ledger/foreign_reports", 1).await;
    assert_eq!(site.figure(0, "/ledger/reported").await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_before_the_report_came_the_next_life_knows_it_for_another_s() {
    let mut site = Site::start(1, 0.02).await;
    assert_eq!(
        site.begin(0, BehaviourProfile { late: 2.0, ..BehaviourProfile::default() }).await.unwrap(),
        Final::Served
    );
    assert_eq!(site.figure(0, "/ledger/reported").await, 0, "the report has not come yet");
    site.kill(0);
    site.until(0, "/ledger/foreign_reports", 1).await;
    assert_eq!((site.figure(0, "/owed").await, site.figure(0, "/open").await), (0, 0));
    assert_eq!(site.audit().doors["runs"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_of_them_killed_together_leave_each_request_one_answer_and_one_run() {
    let mut site = Site::start(4, 0.3).await;
    let playing: Vec<_> = (0..40).map(|n| site.begin(n % 4, BehaviourProfile::default())).collect();
    site.runs(4).await;
    site.kill(0);
    site.kill(2);
    let mut served = 0;
    for end in playing {
        // With one checker, a gateway of four lets few out at once and refuses the rest.
        match end.await.unwrap() {
            Final::Served => served += 1,
            Final::Broken | Final::Refused => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(served >= 4, "{served} served: two gateways lived");
    assert_eq!(site.audit().doors["runs"], served, "what ran was answered, whoever died meanwhile");
}
