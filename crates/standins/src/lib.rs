//! Stand-ins for what surrounds a gatekeeper, written from the public specifications: checker, counter,
//! discovery, the edge that plays proxy and clients, and links that fail.
//!
//! Each records what passes on its sockets ([`Recorder`]); faults are set from outside while it runs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent;
mod checker;
mod connections;
mod counter;
mod discovery;
mod edge;
mod link;
mod record;
mod scripted;
mod switch;

pub use agent::{Agent, ListCall};
pub use checker::{CHANCE, Checker, CheckerSpec, Cold};
pub use counter::{Counter, CounterFault};
pub use discovery::Discovery;
pub use edge::{Edge, End, Habits, Outcome, Try};
pub use link::{Link, LinkFault};
pub use record::{Belief, ColdBook, Door, Fact, Fate, Final, Line, Recorder, RuleBook, ServerState, Verdict};
pub use scripted::{Came, Reply, Script, Scripted, counting, frame};
pub use switch::{Flood, PeerWay, Switch};
