//! The clients of discovery and the counter, which are replaced when a configuration reload changes an
//! address.

use crate::context::NodeContext;
use crate::counter::CounterClient;
use crate::discovery::DiscoveryClient;
use crate::panics::spawn_shared;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;
use weirusher_core::PollTiming;
use weirusher_platform::config::Config;

/// The running clients of discovery and the counter, and their configuration.
pub struct ServiceClients {
    node: Rc<NodeContext>,
    /// The configuration at the start, with the current addresses. The other fields stay as they were,
    /// because pending requests, leases and the zones of the endpoint list depend on them.
    config: Config,
    discovery: AbortHandle,
    counter: Option<Rc<CounterClient>>,
}

impl ServiceClients {
    /// Starts both clients.
    pub fn start(node: Rc<NodeContext>, config: Config) -> Self {
        let discovery = Self::start_discovery(&node, &config);
        let counter = config.counter;
        let mut clients = Self { node, config, discovery, counter: None };
        clients.start_counter(counter);
        clients
    }

    fn start_discovery(node: &Rc<NodeContext>, config: &Config) -> AbortHandle {
        let platform = &config.platform;
        let timing = PollTiming::new(platform.drain_grace, platform.settings.polls_endpoints);
        let seed = config.seed;
        let client = DiscoveryClient::run(node.clone(), config.discovery, timing, seed);
        spawn_shared(node, "discovery", client).abort_handle()
    }

    /// Starts a client for the counter at `address`, and retires the previous one.
    fn start_counter(&mut self, address: Option<SocketAddr>) {
        if let Some(counter) = self.counter.take() {
            counter.retire();
        }
        self.counter =
            address.map(|address| CounterClient::new(self.node.clone(), address, self.config.seed));
        self.node.set_has_counter(self.counter.is_some());
        if let Some(counter) = &self.counter {
            spawn_shared(&self.node, "counter", counter.clone().run());
        }
    }

    /// Applies the addresses of a new configuration; changes to other fields are logged and otherwise
    /// ignored. A configuration with the name of another gateway is ignored as a whole.
    pub fn reload(&mut self, newer: &Config) {
        let needs_restart = self.config.changes_requiring_restart(newer);
        if needs_restart.contains(&"name") {
            tracing::warn!(
                name = newer.name,
                "configuration reload ignored: the file is for another gateway"
            );
            return;
        }
        if !needs_restart.is_empty() {
            tracing::warn!(
                fields = ?needs_restart,
                "a reload changes addresses only; the changes to these fields need a restart"
            );
        }
        tracing::info!(discovery = %newer.discovery, counter = ?newer.counter, "configuration reloaded");
        if newer.counter != self.config.counter {
            self.config.counter = newer.counter;
            self.start_counter(newer.counter);
        }
        if newer.discovery != self.config.discovery {
            self.config.discovery = newer.discovery;
            self.discovery.abort();
            self.discovery = Self::start_discovery(&self.node, &self.config);
        }
    }
}
