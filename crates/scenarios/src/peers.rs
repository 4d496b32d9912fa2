//! Gatekeepers that know of each other: the network between them, what they are told, and what they state.

use crate::scenario::{Peers as BehaviourProfile, Scenario};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use weirusher_fakes::{Belief, Fact, Recorder, Reply, Scripted, Switch, frame};
use weirusher_fleet::ViewSummary;

/// The fleet's key, and that of strangers: known to a rehearsal's own processes, and of no use elsewhere.
const KEYS: [&str; 2] = ["rehearsal-only-rehearsal-only-32", "strangers-only-strangers-only-32"];
/// How long a gatekeeper may take to say what it believes.
const PATIENCE: Duration = Duration::from_secs(1);

/// Where a gatekeeper's processes state what they believe: its own page, and that of a second one.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pages {
    pub own: Option<SocketAddr>,
    pub twin: Option<SocketAddr>,
}

/// The network between gatekeepers, and who asks them.
pub(crate) struct PeerNet {
    pub switch: Switch,
    habits: BehaviourProfile,
    pages: Vec<Arc<Mutex<Pages>>>,
    /// Where each one's datagrams are received: its own, and its twin's.
    homes: Vec<[Option<SocketAddr>; 2]>,
    asking: JoinSet<()>,
}

impl PeerNet {
    pub async fn start(
        day: &Scenario,
        habits: BehaviourProfile,
        recorder: &Recorder,
    ) -> std::io::Result<Self> {
        let size = day.fleet.gatekeepers;
        let switch = Switch::start(size, day.seed, recorder.clone()).await?;
        let pages = (0..size).map(|_| Arc::default()).collect();
        Ok(Self { switch, habits, pages, homes: vec![[None; 2]; size], asking: JoinSet::new() })
    }

    /// A gatekeeper's `[fleet]`.
    pub fn config(&self, number: usize, own_number: bool, clock_shift: f64) -> String {
        let mut members: Vec<String> =
            self.switch.addresses.iter().map(|address| format!("\"{address}\"")).collect();
        if self.habits.misled.contains(&number) {
            members.push("\"127.0.0.1:9\"".into());
        }
        let key = KEYS[usize::from(self.habits.strangers.contains(&number))];
        let which = if own_number { format!("number = {number}\n") } else { String::new() };
        format!(
            "\n[fleet]\n{which}listen = \"127.0.0.1:0\"\nclock_shift_seconds = {clock_shift}\nkey = \"{key}\"\nmembers = [{}]\n",
            members.join(", ")
        )
    }

    /// Members that a gatekeeper is told of.
    pub fn size_told(&self, number: usize) -> usize {
        self.homes.len() + usize::from(self.habits.misled.contains(&number))
    }

    /// A gatekeeper, or its twin, has its datagrams and page here, or is gone.
    pub fn set(&mut self, number: usize, twin: bool, at: Option<(SocketAddr, SocketAddr)>) {
        self.homes[number][usize::from(twin)] = at.map(|(home, _)| home);
        self.switch.home(number, self.homes[number].iter().flatten().copied().collect());
        let mut pages = self.pages[number].lock().expect("no holder panics");
        let page = at.map(|(_, page)| page);
        if twin {
            pages.twin = page;
        } else {
            pages.own = page;
        }
    }

    /// All were started: asks each from now on what it believes.
    pub fn ask(&mut self, recorder: &Recorder) {
        let strangers = self.habits.strangers.iter().chain(&self.habits.misled).copied().collect();
        recorder.note(Fact::Peers { size: self.pages.len(), strangers });
        for (gk, pages) in self.pages.iter().enumerate() {
            let every = Duration::from_millis(self.habits.ask_ms.max(10));
            self.asking.spawn(ask(gk, pages.clone(), every, recorder.clone()));
        }
    }
}

async fn ask(gk: usize, pages: Arc<Mutex<Pages>>, every: Duration, recorder: Recorder) {
    let mut tick = tokio::time::interval(every);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let Pages { own, twin } = *pages.lock().expect("no holder panics");
        for (page, twin) in [(own, false), (twin, true)] {
            let Some(page) = page else { continue };
            let asked = recorder.now();
            // Whoever is dead, or stands still, states nothing.
            if let Ok(Some(brief)) = tokio::time::timeout(PATIENCE, brief(page)).await {
                recorder.note(Fact::States { gk, twin, asked, belief: belief(&brief) });
            }
        }
    }
}

async fn brief(page: SocketAddr) -> Option<ViewSummary> {
    let answer = weirusher_peers::page::get(page, "/fleet/brief").await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn belief(brief: &ViewSummary) -> Belief {
    let numbers = |members: &[u16]| members.iter().map(|number| usize::from(*number)).collect();
    Belief {
        incarnation: brief.incarnation,
        alive: numbers(&brief.alive),
        gone: numbers(&brief.dead),
        share: brief.reachability.fraction(),
        heard: brief.reachability.subjects_heard,
        superseded: brief.reachability.superseded,
    }
}

/// The platform's list service, as far as a gatekeeper without workers needs it.
pub(crate) async fn no_workers() -> std::io::Result<Scripted> {
    let list = serde_json::json!({ "index": 1, "snapshot": true, "endpoints": [] }).to_string();
    let script = move |request: &weirusher_wire::http1::Request| {
        let watched = request.path.contains("since=");
        if watched { Reply::Silence } else { Reply::Bytes(frame(200, "", &list)) }
    };
    Scripted::start(SocketAddr::from(([127, 0, 0, 1], 0)), script).await
}

/// A `node`'s configuration, without workers or customers.
pub(crate) fn node_config(
    number: usize,
    size: usize,
    discovery: SocketAddr,
    file: &Path,
) -> std::io::Result<()> {
    let text = serde_json::json!({
        "name": format!("n{number}"), "listen": "127.0.0.1:0", "discovery": discovery, "counter": null, "seed": number,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 64},
        "known": {"index": 1, "snapshot": true, "endpoints": []},
        "settings": {
            "PeersTotal": size, "Me": number, "Dcs": ["a"], "Step": 0.002,
            "Domain": {"HasCounter": false, "CountLimit": 0.5, "MaxUnits": 1.0},
            "Limits": {"SendCap": 4, "SecondCopies": false, "Cancelling": false, "RetryAfter": true,
                "MaxRetryAfter": 1.0, "ConnIdle": 30.0, "ConnectTimeout": 0.25},
            "Classes": [{"Name": "check", "Effect": "idempotent", "Slo": 2.0}],
            "Plans": [{"Name": "none", "QuotaRate": 1.0, "Depth": 1.0, "Pays": 1.0}],
        },
    });
    std::fs::write(file, text.to_string())
}
