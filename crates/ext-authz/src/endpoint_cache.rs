//! The last endpoint list on disk, for a start while discovery is unavailable.
//!
//! The file is replaced atomically: a temporary file is written and synced, renamed, and the directory
//! synced. A crash at any moment leaves the old list or the new one. While writing fails, the latest list is
//! tried again.

use atomic_write_file::AtomicWriteFile;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use weirusher::{Endpoint, Lifecycle};
use weirusher_wire::eds;

/// Delay before a list that could not be written is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest wait for the cached list at the start.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// An endpoint in the file. Draining endpoints are not written.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CachedEndpoint {
    address: String,
    zone: u32,
    /// Unix seconds of the last start; 0 is long ago.
    started: f64,
}

impl From<&Endpoint> for CachedEndpoint {
    fn from(endpoint: &Endpoint) -> Self {
        Self { address: endpoint.id.to_string(), zone: endpoint.zone, started: endpoint.started }
    }
}

impl From<CachedEndpoint> for Endpoint {
    fn from(cached: CachedEndpoint) -> Self {
        Self {
            id: cached.address.into(),
            zone: cached.zone,
            cell: 0,
            started: cached.started,
            lifecycle: Lifecycle::Running,
        }
    }
}

/// Loads the cached endpoint list on another thread. It is empty if that takes too long: a disk that hangs must not keep
/// discovery from being asked.
pub async fn load_in_time(path: PathBuf) -> Vec<Endpoint> {
    let file = path.clone();
    let loaded = tokio::task::spawn_blocking(move || load(&file));
    match tokio::time::timeout(LOAD_TIMEOUT, loaded).await {
        Ok(loaded) => loaded.unwrap_or_default(), // After a panic, which the hook has logged.
        Err(_) => {
            tracing::warn!(path = %path.display(), "the cached endpoint list is not read in time; starting without one");
            Vec::new()
        }
    }
}

/// Loads the cached endpoint list. It is empty if there is no file or the file is damaged, which is logged.
pub fn load(path: &Path) -> Vec<Endpoint> {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => {
            tracing::info!(%error, path = %path.display(), "no endpoint list is cached yet");
            return Vec::new();
        }
    };
    let cached: Vec<CachedEndpoint> = serde_json::from_slice(&text).unwrap_or_else(|error| {
        let path = path.display();
        tracing::warn!(%error, %path, "the cached endpoint list is damaged; starting without one");
        Vec::new()
    });
    cached.into_iter().take(eds::MAX_ENDPOINTS).map(Endpoint::from).collect()
}

/// Writes the latest endpoint list to the file, in a task that ends when the cache is dropped.
#[derive(Debug)]
pub struct EndpointCache(watch::Sender<Vec<CachedEndpoint>>);

impl EndpointCache {
    /// Starts writing to the file at `path`.
    pub fn start(path: PathBuf) -> Self {
        let (sender, latest) = watch::channel(Vec::new());
        tokio::spawn(write_latest(path, latest));
        Self(sender)
    }

    /// Caches this list, in place of any that was not written yet.
    pub fn store(&self, endpoints: &[Endpoint]) {
        let running = endpoints.iter().filter(|endpoint| endpoint.lifecycle == Lifecycle::Running);
        self.0.send_replace(running.map(CachedEndpoint::from).collect());
    }
}

async fn write_latest(path: PathBuf, mut latest: watch::Receiver<Vec<CachedEndpoint>>) {
    let mut failing = false;
    while latest.changed().await.is_ok() {
        loop {
            let endpoints = latest.borrow_and_update().clone();
            let file = path.clone();
            // Off the runtime's threads: a sync may take long.
            let written = tokio::task::spawn_blocking(move || write(&file, &endpoints)).await;
            let Err(error) = written.unwrap_or_else(|panic| Err(io::Error::other(panic))) else { break };
            if !std::mem::replace(&mut failing, true) {
                let path = path.display();
                tracing::warn!(%error, %path, "the endpoint list could not be cached; retrying");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if std::mem::take(&mut failing) {
            tracing::info!(path = %path.display(), "the endpoint list is cached again");
        }
    }
}

fn write(path: &Path, endpoints: &[CachedEndpoint]) -> io::Result<()> {
    let text = serde_json::to_vec(endpoints)?;
    let mut file = AtomicWriteFile::open(path)?;
    file.write_all(&text)?;
    file.commit()
}

#[cfg(test)]
mod tests;
