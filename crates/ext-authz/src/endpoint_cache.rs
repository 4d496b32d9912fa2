//! Caches the last endpoint list on disk, so that a gateway can start while discovery is unavailable.
//!
//! The file is replaced atomically: a temporary file is written, synced and renamed, and then the directory
//! is synced. A crash at any moment leaves either the old list or the new one. A failed write is retried with
//! the latest list.

use atomic_write_file::AtomicWriteFile;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use weirusher::{CellId, Endpoint, Lifecycle, Location, ZoneId};
use weirusher_wire::eds;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Stands for an unknown zone in the file, whose format has a number for each endpoint.
const UNKNOWN_ZONE: u32 = u32::MAX;
/// Time limit for loading the cached list at startup.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// An endpoint in the cache file. Only running endpoints are written.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CachedEndpoint {
    address: String,
    /// The number of its zone, or [`UNKNOWN_ZONE`].
    zone: u32,
    /// The number of its cell. Files of older versions have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    cell: Option<u32>,
    /// When the backend was last started, in Unix seconds; 0 if long ago.
    started: f64,
}

impl From<&Endpoint> for CachedEndpoint {
    fn from(endpoint: &Endpoint) -> Self {
        let Location { zone, cell } = endpoint.location;
        Self {
            address: endpoint.id.to_string(),
            zone: zone.map_or(UNKNOWN_ZONE, ZoneId::number),
            cell: cell.map(CellId::number),
            started: endpoint.started,
        }
    }
}

impl From<CachedEndpoint> for Endpoint {
    fn from(cached: CachedEndpoint) -> Self {
        let zone = (cached.zone != UNKNOWN_ZONE).then(|| ZoneId::from_number(cached.zone));
        Self {
            id: cached.address.into(),
            location: Location { zone, cell: cached.cell.map(CellId::from_number) },
            started: cached.started,
            lifecycle: Lifecycle::Running,
        }
    }
}

/// Loads the cached endpoint list on a blocking thread. Returns an empty list if that takes too long, so that
/// a hung disk does not keep the gateway from contacting discovery.
pub async fn load_with_timeout(path: PathBuf) -> Vec<Endpoint> {
    let file = path.clone();
    let loaded = tokio::task::spawn_blocking(move || load(&file));
    match tokio::time::timeout(LOAD_TIMEOUT, loaded).await {
        Ok(loaded) => loaded.unwrap_or_default(), // `Err`: `load` panicked, which the panic hook has logged.
        Err(_) => {
            tracing::warn!(
                path = %path.display(),
                "the cached endpoint list was not read in time; starting without one"
            );
            Vec::new()
        }
    }
}

/// Loads the cached endpoint list. If the file is missing or damaged, logs that and returns an empty list.
pub fn load(path: &Path) -> Vec<Endpoint> {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => {
            tracing::info!(%error, path = %path.display(), "no cached endpoint list was read; starting without one");
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

/// Writes the latest endpoint list to the cache file in a background task, which ends when this value is
/// dropped.
#[derive(Debug)]
pub struct EndpointCache(watch::Sender<Vec<CachedEndpoint>>);

impl EndpointCache {
    /// Starts the background task, which writes to the file at `path`.
    pub fn start(path: PathBuf) -> Self {
        let (sender, latest) = watch::channel(Vec::new());
        tokio::spawn(write_latest(path, latest));
        Self(sender)
    }

    /// Queues a list to be written. It replaces any list that has not been written yet.
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
            // Syncing to disk may block for long, so it must not run on a thread of the async runtime.
            let written = tokio::task::spawn_blocking(move || write(&file, &endpoints)).await;
            let Err(error) = written.unwrap_or_else(|panic| Err(io::Error::other(panic))) else { break };
            if !std::mem::replace(&mut failing, true) {
                let path = path.display();
                tracing::warn!(%error, %path, "the endpoint list could not be cached; retrying");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if std::mem::take(&mut failing) {
            tracing::info!(path = %path.display(), "the endpoint list was cached, after earlier failures");
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
