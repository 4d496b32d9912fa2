//! The network between gateways: every datagram from one to another passes here, and may be lost, duplicated, delayed,
//! blocked, replayed or forged.
//!
//! Each gateway has a port here, which is its address in the others' member lists. What it sends reaches the others from
//! that port, so that they see the address they know.

use crate::capture::{CaptureEvent, DatagramFate};
use crate::lock::lock;
use crate::recorder::Recorder;
use fastrand::Rng;
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// Largest datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Size of a forged datagram.
const FORGED_BYTES: usize = 80;

/// What happens to every datagram. Each probability is drawn for each datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct NetworkConditions {
    /// Probability that it is lost.
    pub loss_probability: f64,
    /// Probability that it arrives twice.
    pub duplicate_probability: f64,
    /// Seconds of delay, uniformly distributed.
    pub delay_seconds: RangeInclusive<f64>,
    /// Probability that it is sent once more, `replay_after_seconds` later.
    pub replay_probability: f64,
    /// See `replay_probability`.
    pub replay_after_seconds: f64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        Self {
            loss_probability: 0.0,
            duplicate_probability: 0.0,
            delay_seconds: 0.0..=0.0,
            replay_probability: 0.0,
            replay_after_seconds: 0.0,
        }
    }
}

/// What a flood consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flood {
    /// Random bytes that no gateway sent.
    Forged,
    /// The last authentic datagram, over and over.
    Replayed,
    /// The first half of the last authentic datagram.
    #[serde(rename = "cut")]
    Truncated,
    /// The last authentic datagram, padded beyond the largest size allowed.
    Oversized,
}

/// A copy of a datagram that is to be delivered.
struct DatagramCopy {
    delay_seconds: f64,
    fate: DatagramFate,
}

struct State {
    conditions: NetworkConditions,
    /// The group of each gateway: groups do not reach each other.
    groups: Vec<usize>,
    /// Directions that are blocked: from, to.
    blocked: HashSet<(usize, usize)>,
    /// The gateway at each address.
    gateways: HashMap<SocketAddr, usize>,
    /// The addresses of each gateway: two where a duplicate runs under its number.
    addresses: Vec<Vec<SocketAddr>>,
    /// The last datagram from one to another, which floods are made of.
    last: HashMap<(usize, usize), Vec<u8>>,
    rng: Rng,
}

struct Shared {
    ports: Vec<UdpSocket>,
    state: Mutex<State>,
    recorder: Recorder,
}

/// The network. Dropping it ends all forwarding.
pub struct PeerNetwork {
    /// The address of each gateway in the others' member lists.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl PeerNetwork {
    /// A network of `size` gateways; `seed` draws what happens to datagrams.
    ///
    /// # Errors
    /// There are not enough free ports.
    pub async fn start(size: usize, seed: u64, recorder: Recorder) -> io::Result<Self> {
        let (mut ports, mut addresses) = (Vec::with_capacity(size), Vec::with_capacity(size));
        for _ in 0..size {
            let port = UdpSocket::bind("127.0.0.1:0").await?;
            addresses.push(port.local_addr()?);
            ports.push(port);
        }
        let state = State {
            conditions: NetworkConditions::default(),
            groups: vec![0; size],
            blocked: HashSet::new(),
            gateways: HashMap::new(),
            addresses: vec![Vec::new(); size],
            last: HashMap::new(),
            rng: Rng::with_seed(seed),
        };
        let shared = Arc::new(Shared { ports, state: Mutex::new(state), recorder });
        let mut tasks = JoinSet::new();
        for to in 0..size {
            tasks.spawn(forward_datagrams(shared.clone(), to));
        }
        Ok(Self { addresses, shared, tasks })
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.shared.state));
    }

    /// Sets where a gateway receives datagrams; each of them goes to all of its addresses.
    pub fn set_addresses(&self, gateway: usize, addresses: Vec<SocketAddr>) {
        self.change(|state| {
            state.gateways.retain(|_, known| *known != gateway);
            state.gateways.extend(addresses.iter().map(|address| (*address, gateway)));
            state.addresses[gateway] = addresses;
        });
    }

    /// Changes what happens to every datagram.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.change(|state| state.conditions = conditions);
    }

    /// Partitions the network: the group of each gateway.
    pub fn partition(&self, groups: Vec<usize>) {
        self.change(|state| state.groups = groups);
    }

    /// Blocks or unblocks one direction between two gateways.
    pub fn set_blocked(&self, from: usize, to: usize, blocked: bool) {
        self.change(|state| {
            if blocked {
                state.blocked.insert((from, to));
            } else {
                state.blocked.remove(&(from, to));
            }
        });
    }

    /// Floods gateway `to` for some seconds with datagrams that seem to come from `from`.
    pub fn flood(&mut self, from: usize, to: usize, per_second: f64, seconds: f64, flood: Flood) {
        let shared = self.shared.clone();
        self.tasks.spawn(async move {
            let end = tokio::time::Instant::now() + Duration::from_secs_f64(seconds);
            let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
            let fate = match flood {
                Flood::Replayed => DatagramFate::Replayed,
                Flood::Forged | Flood::Truncated | Flood::Oversized => DatagramFate::Forged,
            };
            while tokio::time::Instant::now() < end {
                interval.tick().await;
                let bytes = shared.flood_datagram(from, to, flood);
                shared.deliver(from, to, &bytes, fate).await;
            }
        });
    }
}

impl Shared {
    fn flood_datagram(&self, from: usize, to: usize, flood: Flood) -> Vec<u8> {
        let mut state = lock(&self.state);
        let mut bytes = state.last.get(&(from, to)).cloned().unwrap_or_default();
        match flood {
            Flood::Forged => bytes = (0..FORGED_BYTES).map(|_| state.rng.u8(..)).collect(),
            Flood::Replayed => {}
            Flood::Truncated => bytes.truncate(bytes.len() / 2),
            Flood::Oversized => bytes.resize(MAX_DATAGRAM_BYTES, 0),
        }
        bytes
    }

    async fn deliver(&self, from: usize, to: usize, bytes: &[u8], fate: DatagramFate) {
        let addresses = lock(&self.state).addresses[to].clone();
        self.recorder.record(CaptureEvent::Datagram { from, to, bytes: bytes.len(), fate });
        for address in addresses {
            let _ = self.ports[from].send_to(bytes, address).await; // The process there may have died.
        }
    }

    /// What happens to a datagram: its fate, and the copies of it that arrive.
    fn decide(&self, from: usize, to: usize, bytes: &[u8]) -> (DatagramFate, Vec<DatagramCopy>) {
        let state = &mut *lock(&self.state);
        state.last.insert((from, to), bytes.to_vec());
        if state.groups[from] != state.groups[to] || state.blocked.contains(&(from, to)) {
            return (DatagramFate::Partitioned, Vec::new());
        }
        let (conditions, rng) = (&state.conditions, &mut state.rng);
        if rng.f64() < conditions.loss_probability {
            return (DatagramFate::Lost, Vec::new());
        }
        let (shortest, longest) = (conditions.delay_seconds.start(), conditions.delay_seconds.end());
        let mut delay = || shortest + rng.f64() * (longest - shortest);
        let (first_delay, duplicate_delay) = (delay(), delay());
        let duplicated = rng.f64() < conditions.duplicate_probability;
        let replayed = rng.f64() < conditions.replay_probability;
        let copy = |delay_seconds, fate| DatagramCopy { delay_seconds, fate };
        let mut copies = vec![copy(first_delay, DatagramFate::Delivered)];
        if duplicated {
            copies.push(copy(duplicate_delay, DatagramFate::Duplicated));
        }
        if replayed {
            copies.push(copy(conditions.replay_after_seconds, DatagramFate::Replayed));
        }
        (DatagramFate::Delivered, copies)
    }
}

/// Forwards the datagrams that arrive at the port of gateway `to`.
async fn forward_datagrams(shared: Arc<Shared>, to: usize) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, source)) = shared.ports[to].recv_from(&mut buffer).await else { continue };
        let from = lock(&shared.state).gateways.get(&source).copied();
        let Some(from) = from.filter(|from| *from != to) else { continue };
        let bytes = &buffer[..size];
        let (fate, copies) = shared.decide(from, to, bytes);
        if fate != DatagramFate::Delivered {
            shared.recorder.record(CaptureEvent::Datagram { from, to, bytes: size, fate });
        }
        for DatagramCopy { delay_seconds, fate } in copies {
            if delay_seconds > 0.0 {
                let (shared, bytes) = (shared.clone(), bytes.to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(delay_seconds)).await;
                    shared.deliver(from, to, &bytes, fate).await;
                });
            } else {
                shared.deliver(from, to, bytes, fate).await;
            }
        }
    }
}
