//! Reads the configuration file off the main thread, because a read from disk may hang.

use crate::run_error::RunError;
use std::path::{Path, PathBuf};
use tokio::task::JoinHandle;
use weirusher_platform::config::Config;

/// Reads and parses the configuration.
///
/// # Errors
/// The file cannot be read, or its content is invalid.
pub fn read(file: &Path) -> Result<Config, RunError> {
    let text = std::fs::read(file).map_err(|error| RunError::Read(file.to_path_buf(), error))?;
    Config::parse(&text).map_err(|error| RunError::Config(file.to_path_buf(), error))
}

/// Reads the configuration file on the runtime's blocking threads. Only the result of the most recent read is
/// returned; an earlier read, which may hang, is abandoned.
pub struct ConfigReader {
    file: PathBuf,
    latest_read: Option<JoinHandle<Result<Config, RunError>>>,
}

impl ConfigReader {
    /// A reader of `file`.
    pub fn new(file: &Path) -> Self {
        Self { file: file.to_path_buf(), latest_read: None }
    }

    /// Starts to read the file, and abandons any earlier read.
    pub fn start(&mut self) {
        let file = self.file.clone();
        self.latest_read = Some(tokio::task::spawn_blocking(move || read(&file)));
    }

    /// Waits for the result of the most recent read; forever if none is in progress.
    pub async fn finished(&mut self) -> Result<Config, RunError> {
        let Some(read) = &mut self.latest_read else { return std::future::pending().await };
        let result = read.await;
        self.latest_read = None;
        result.unwrap_or(Err(RunError::Panicked))
    }
}
