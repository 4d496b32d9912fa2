//! The last list of servers on disk, for a start without discovery.
//!
//! It is replaced atomically: a temporary file is written and synced, renamed, and the folder synced. A crash at any
//! moment leaves the old list or the new one. While the folder takes nothing, the latest list is tried again.

use atomic_write_file::AtomicWriteFile;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use weirusher::{Endpoint, Lifecycle};
use weirusher_wire::eds;

/// Pause until a list that could not be kept is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// A server as the file keeps it; one that drained then is not started with.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct KeptServer {
    address: String,
    zone: u32,
    started: f64,
}

/// The servers of the list that is kept; none where there is none, or where the file is damaged, which the log tells.
pub fn load(path: &Path) -> Vec<Endpoint> {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => {
            tracing::info!(%error, path = %path.display(), "no list is kept yet");
            return Vec::new();
        }
    };
    let kept: Vec<KeptServer> = serde_json::from_slice(&text).unwrap_or_else(|error| {
        tracing::warn!(%error, path = %path.display(), "the kept list is damaged; starting without one");
        Vec::new()
    });
    let server = |kept: KeptServer| Endpoint {
        id: kept.address.into(),
        zone: kept.zone,
        cell: 0,
        started: kept.started,
        lifecycle: Lifecycle::Running,
    };
    kept.into_iter().take(eds::MOST_SERVERS).map(server).collect()
}

/// Keeps the latest list. Dropped, it ends.
#[derive(Debug)]
pub struct ListKeeper(watch::Sender<Vec<KeptServer>>);

impl ListKeeper {
    /// Keeps lists in a file from now on.
    pub fn start(path: PathBuf) -> Self {
        let (lists, latest) = watch::channel(Vec::new());
        tokio::spawn(keep_latest(path, latest));
        Self(lists)
    }

    /// Keeps this list, in place of any that was not kept yet.
    pub fn keep(&self, servers: &[Endpoint]) {
        let running = servers.iter().filter(|server| server.lifecycle == Lifecycle::Running);
        let kept = |server: &Endpoint| KeptServer {
            address: server.id.to_string(),
            zone: server.zone,
            started: server.started,
        };
        self.0.send_replace(running.map(kept).collect());
    }
}

async fn keep_latest(path: PathBuf, mut latest: watch::Receiver<Vec<KeptServer>>) {
    let mut failing = false;
    while latest.changed().await.is_ok() {
        loop {
            let servers = latest.borrow_and_update().clone();
            let file = path.clone();
            // Off the threads that answer: a sync may take long.
            let written = tokio::task::spawn_blocking(move || write(&file, &servers)).await;
            let Err(error) = written.unwrap_or_else(|ended| Err(io::Error::other(ended))) else { break };
            if !std::mem::replace(&mut failing, true) {
                tracing::warn!(%error, path = %path.display(), "the list could not be kept; it is tried again");
            }
            tokio::time::sleep(RETRY).await;
        }
        if std::mem::take(&mut failing) {
            tracing::info!(path = %path.display(), "the list is kept again");
        }
    }
}

fn write(path: &Path, servers: &[KeptServer]) -> io::Result<()> {
    let text = serde_json::to_vec(servers)?;
    let mut file = AtomicWriteFile::open(path)?;
    file.write_all(&text)?;
    file.commit()
}
