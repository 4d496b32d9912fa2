//! The optional membership of a node in its fleet. The platform starts nodes without it.

use crate::context::NodeContext;
use crate::panics::spawn_shared;
use crate::run_error::RunError;
use std::net::SocketAddr;
use std::rc::Rc;
use weirusher_config::FleetConfig;
use weirusher_peers::{Peers, page};
use weirusher_platform::config::Config;

/// The membership of a node in its fleet, before it is started.
pub struct FleetMembership {
    /// The fleet file: the members, and which of them this instance is.
    pub config: FleetConfig,
    /// Called with the addresses of the datagram socket and of the fleet page once both are bound.
    pub on_listening: fn(SocketAddr, SocketAddr),
}

impl FleetMembership {
    /// Starts the membership and the fleet page.
    ///
    /// # Errors
    /// The fleet file does not match the configuration, or an address cannot be bound.
    pub(crate) async fn start(self, node: &Rc<NodeContext>, config: &Config) -> Result<(), RunError> {
        let (fleet, settings) = (&self.config.settings, &config.platform.settings);
        let (fleet_instance, fleet_size) = (fleet.instance, fleet.members.len());
        let (instance, instances) = (settings.instance, settings.instances);
        if (u32::from(fleet_instance), fleet_size) != (instance, instances as usize) {
            return Err(RunError::FleetMismatch { fleet_instance, fleet_size, instance, instances });
        }
        let page_address = self.config.admin.unwrap_or(config.listen);
        let page_error = |error| RunError::FleetPage(page_address, error);
        let listener = weirusher_net::bind(page_address).await.map_err(page_error)?;
        let page_address = listener.local_addr().map_err(page_error)?;
        let (peers, task) = Peers::start(self.config).await?;
        (self.on_listening)(peers.address, page_address);
        spawn_shared(node, "membership", task);
        spawn_shared(node, "fleet page", page::serve(listener, peers));
        Ok(())
    }
}
