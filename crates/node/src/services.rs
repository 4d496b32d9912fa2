//! The clients of discovery and the counter, and their moves to other addresses when the configuration is reloaded.

use crate::context::NodeContext;
use crate::counter::CounterClient;
use crate::discovery::DiscoveryClient;
use crate::panics::spawn_shared;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;
use weirusher_core::PollTiming;
use weirusher_platform::config::Config;

/// The running clients, and the configuration that they follow.
pub struct ServiceClients {
    node: Rc<NodeContext>,
    /// As at the start but for the addresses: pending requests, leases and the zones of the list are bound to it.
    config: Config,
    discovery: AbortHandle,
    counter: Option<Rc<CounterClient>>,
}

impl ServiceClients {
    /// Starts the clients.
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
        let (zones, seed) = (platform.zones.clone(), config.seed);
        let client = DiscoveryClient::run(node.clone(), config.discovery, zones, timing, seed);
        spawn_shared(node, "discovery", client).abort_handle()
    }

    /// Starts the client of the counter at `address`, in place of the one before.
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

    /// Follows the addresses of a new configuration, and nothing else of it. The configuration of another gateway is
    /// ignored.
    pub fn reload(&mut self, newer: &Config) {
        let not_followed = self.config.changes_requiring_restart(newer);
        if not_followed.contains(&"name") {
            tracing::warn!(name = newer.name, "a configuration of another gateway: all stays as it was");
            return;
        }
        if !not_followed.is_empty() {
            tracing::warn!(
                fields = ?not_followed,
                "only addresses are followed; these stay as they were until a restart"
            );
        }
        tracing::info!(discovery = %newer.discovery, counter = ?newer.counter, "the configuration was read anew");
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
