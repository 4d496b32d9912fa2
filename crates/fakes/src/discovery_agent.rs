//! The platform's discovery agent beside a gateway: answers polls of its endpoint list, and can stop answering.

use crate::endpoint_list::EndpointList;
use crate::scripted_server::{ReceivedRequest, Reply, ScriptedServer};
use std::net::SocketAddr;

/// A discovery agent. Dropping it kills it.
pub struct DiscoveryAgent {
    server: ScriptedServer,
    list: EndpointList,
}

impl DiscoveryAgent {
    /// Starts an agent on `address` that holds the complete `list`, in discovery's JSON form, as version `index`.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(address: SocketAddr, index: u64, list: String) -> std::io::Result<Self> {
        let list = EndpointList::new(index, list);
        let polled = list.clone();
        let server =
            ScriptedServer::start(address, move |request| Reply::EndpointList(polled.poll(request))).await?;
        Ok(Self { server, list })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the list, and notifies those that watch it.
    pub fn set_list(&self, index: u64, list: String) {
        self.list.set(index, list);
    }

    /// Answers nothing from now on. Polls that are pending, and those that come meanwhile, are never answered.
    pub fn stop_answering(&self) {
        self.list.stop_answering();
    }

    /// Answers the polls that come from now on.
    pub fn resume_answering(&self) {
        self.list.resume_answering();
    }

    /// The polls received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.server.received()
    }

    /// Waits until `count` polls have been received.
    pub async fn wait_for_requests(&self, count: usize) {
        self.server.wait_for_requests(count).await;
    }

    /// Waits until somebody polls for what is newer than version `index`, and therefore has that version.
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
