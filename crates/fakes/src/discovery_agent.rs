//! A fake of the platform's discovery agent, which runs beside a gateway: it responds to polls for its endpoint list,
//! and can stop responding.

use crate::endpoint_list::EndpointList;
use crate::scripted_server::{ReceivedRequest, Reply, ScriptedServer};
use std::net::SocketAddr;

/// A discovery agent. Dropping it closes its listener and connections.
pub struct DiscoveryAgent {
    server: ScriptedServer,
    list: EndpointList,
}

impl DiscoveryAgent {
    /// Starts an agent on `address` with the complete `list`, in the JSON form of discovery, as version `index`.
    ///
    /// # Errors
    /// If it cannot listen on the address.
    pub async fn start(address: SocketAddr, index: u64, list: String) -> std::io::Result<Self> {
        let list = EndpointList::new(index, list);
        let polled = list.clone();
        let server =
            ScriptedServer::start(address, move |request| Reply::EndpointList(polled.poll(request))).await?;
        Ok(Self { server, list })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the list, which completes the polls that wait for a newer version.
    pub fn set_list(&self, index: u64, list: String) {
        self.list.set(index, list);
    }

    /// Stops responding. Polls that are pending, and those received until [`Self::resume_answering`], never get a
    /// response.
    pub fn stop_answering(&self) {
        self.list.stop_answering();
    }

    /// Responds to the polls that are received from now on.
    pub fn resume_answering(&self) {
        self.list.resume_answering();
    }

    /// Returns the polls received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.server.received()
    }

    /// Waits until `count` polls have been received.
    pub async fn wait_for_requests(&self, count: usize) {
        self.server.wait_for_requests(count).await;
    }

    /// Waits until a client polls for versions newer than `index`, which shows that it has received that version.
    pub async fn wait_until_list_received(&self, index: u64) {
        let since = format!("since={index}&");
        let mut count = 0;
        loop {
            let received = self.received();
            if received.iter().any(|poll| poll.request.path.contains(&since)) {
                return;
            }
            count = received.len().max(count) + 1;
            self.wait_for_requests(count).await;
        }
    }
}
