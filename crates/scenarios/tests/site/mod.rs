//! A small site on loopback: gatekeepers in this process, stand-ins around them, and their capture.
#![allow(dead_code)] // Each test file uses a part of it.

use futures::{SinkExt, StreamExt};
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use weirusher::{Endpoint, Lifecycle};
use weirusher_config::Config;
use weirusher_core::{Key, Keyring};
use weirusher_ext_authz::GatewayHandle;
use weirusher_fakes::{
    BehaviourProfile, Counter, Discovery, Fact, FakeBackend, FakeBackendSpec, Link, LoadGenerator, Outcome,
    Recorder, RuleBook, Try,
};
use weirusher_scenarios::{Audit, audit};
use weirusher_wire::http1::{ClientCodec, Headers, Request};

const SECRET: &str = "0123456789abcdef0123456789abcdef";
const ANYWHERE: &str = "127.0.0.1:0";
/// A generous limit for whatever must come about; nothing waits this long when all is well.
pub const LIMIT: Duration = Duration::from_secs(30);

/// A capture in memory.
#[derive(Clone, Default)]
pub struct Memory(Arc<Mutex<Vec<u8>>>);

impl Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

pub struct Site {
    pub gatekeepers: Vec<GatewayHandle>,
    pub fronts: Vec<Link>,
    pub counter: Counter,
    pub discovery: Discovery,
    pub checkers: Vec<FakeBackend>,
    pub edge: Arc<LoadGenerator>,
    pub recorder: Recorder,
    memory: Memory,
}

/// What a test may choose.
pub struct Make {
    pub gatekeepers: usize,
    pub service: f64,
    /// Lines of the configuration's one plan.
    pub plan: &'static str,
    /// Lines of its one class.
    pub class: &'static str,
}

impl Default for Make {
    fn default() -> Self {
        Self {
            gatekeepers: 1,
            service: 0.005,
            plan: "rate = 100\nburst = 100",
            class: "aim_ms = 1000\npatience_ms = 3000",
        }
    }
}

fn ring() -> Keyring {
    Keyring::new(vec![Key { id: 1, secret: SECRET.as_bytes().to_vec() }]).unwrap()
}

impl Site {
    pub async fn start(make: Make) -> Self {
        let memory = Memory::default();
        let recorder = Recorder::new(Some(Box::new(memory.clone())));
        let rules = RuleBook {
            drain_grace: 0.5,
            plans: vec![[1e6, 1e6, 0.0, 0.0]],
            customers: [("school".to_string(), 0)].into(),
            effects: vec!["safe".into()],
            slack: 0.1,
            gatekeepers: make.gatekeepers,
            counted: false,
            max_units: 1.0,
            window: 0.0,
            cold: None,
        };
        recorder.note(Fact::Day { name: "test".into(), rules });
        let counter = Counter::start(ANYWHERE.parse().unwrap(), recorder.clone()).await.unwrap();
        let discovery =
            Discovery::start(ANYWHERE.parse().unwrap(), Duration::ZERO, recorder.clone()).await.unwrap();
        let mut checkers = Vec::new();
        for seed in 0..2 {
            let spec = FakeBackendSpec {
                cores: 4,
                service: make.service,
                queue: 1000,
                cold: None,
                ring: ring(),
                me: String::new(),
                headers: ["x-weirusher-ticket".into(), "x-units".into()],
            };
            checkers.push(
                FakeBackend::start(ANYWHERE.parse().unwrap(), spec, recorder.clone(), seed).await.unwrap(),
            );
        }
        let (mut gatekeepers, mut fronts) = (Vec::new(), Vec::new());
        for number in 0..make.gatekeepers {
            let text = format!(
                "default_plan = \"only\"\n[instance]\nnumber = {number}\ngateways = {}\n[listen]\next_authz = \"{ANYWHERE}\"\n\
                 streams = 100\n[[tickets.keys]]\nid = 1\nsecret = \"{SECRET}\"\n[counter]\naddress = \"{}\"\n\
                 [discovery]\naddress = \"{}\"\n[[plan]]\nname = \"only\"\n{}\n[[class]]\nname = \"only\"\n{}\n",
                make.gatekeepers, counter.address, discovery.address, make.plan, make.class,
            );
            let config = Config::parse(&text)
                .unwrap_or_else(|p| panic!("{}", weirusher_config::render("", &text, &p)));
            let running = weirusher_ext_authz::start(config).await.unwrap();
            fronts.push(Link::start(Some(running.ext_authz)).await.unwrap());
            gatekeepers.push(running);
        }
        let ways: Vec<SocketAddr> = fronts.iter().map(|f| f.address).collect();
        let edge = LoadGenerator::new(&ways, recorder.clone()).unwrap();
        let site = Self { gatekeepers, fronts, counter, discovery, checkers, edge, recorder, memory };
        site.publish(&[Lifecycle::Running; 2]);
        for gk in 0..site.gatekeepers.len() {
            site.until(gk, "/process/lists", |n| n >= 1).await;
        }
        site
    }

    pub fn publish(&self, lifecycles: &[Lifecycle]) {
        let server = |(checker, lifecycle): (&FakeBackend, &Lifecycle)| Endpoint {
            id: checker.address.to_string().into(),
            zone: 0,
            cell: 0,
            started: 0.0,
            lifecycle: *lifecycle,
        };
        self.discovery.set(self.checkers.iter().zip(lifecycles).map(server).collect());
    }

    pub fn a_try(&self, habits: BehaviourProfile) -> Try {
        let class = (0, "/only".to_string());
        Try { customer: "school".into(), class, units: 1.0, patience: 3.0, gk: 0, habits }
    }

    pub async fn play(&self, habits: BehaviourProfile) -> Outcome {
        self.edge.play(&self.a_try(habits)).await
    }

    /// A gatekeeper's own figures.
    pub async fn stats(&self, gk: usize) -> Value {
        let stream = TcpStream::connect(self.gatekeepers[gk].admin).await.unwrap();
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

    /// Waits until one of a gatekeeper's figures is as it must become.
    pub async fn until(&self, gk: usize, pointer: &str, holds: impl Fn(u64) -> bool) {
        let end = tokio::time::Instant::now() + LIMIT;
        loop {
            let stats = self.stats(gk).await;
            let value = stats
                .pointer(pointer)
                .and_then(Value::as_u64)
                .unwrap_or_else(|| panic!("{pointer}: {stats}"));
            if holds(value) {
                return;
            }
            assert!(tokio::time::Instant::now() < end, "{pointer} stays {value}: {stats}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Nothing is owed or kept any more.
    pub async fn settled(&self) {
        for gk in 0..self.gatekeepers.len() {
            self.until(gk, "/owed", |n| n == 0).await;
            self.until(gk, "/open", |n| n == 0).await;
        }
    }

    pub fn capture(&self) -> String {
        self.recorder.flush();
        String::from_utf8(self.memory.0.lock().unwrap().clone()).unwrap()
    }

    pub fn audit(&self) -> Audit {
        audit(self.capture().as_bytes()).unwrap()
    }

    pub fn kept(&self) {
        let audit = self.audit();
        assert_eq!(audit.broken, 0, "{}\n{}", audit.verdict(), self.capture());
    }
}
