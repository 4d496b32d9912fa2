//! Reads the configuration file beside everything that serves: its disk may hang.

use crate::run_error::RunError;
use std::path::{Path, PathBuf};
use tokio::task::JoinHandle;
use weirusher_platform::config::Config;

/// Reads and parses the configuration.
///
/// # Errors
/// It cannot be read or used.
pub fn read(file: &Path) -> Result<Config, RunError> {
    let text = std::fs::read(file).map_err(|error| RunError::Read(file.to_path_buf(), error))?;
    Config::parse(&text).map_err(|error| RunError::Config(file.to_path_buf(), error))
}

/// Reads a file on other threads, each time that it is asked to. Only the last result counts: a read that was begun before the
/// last request, and may hang, is left alone.
pub struct ConfigReader {
    file: PathBuf,
    last: Option<JoinHandle<Result<Config, RunError>>>,
}

impl ConfigReader {
    /// A reader of `file`.
    pub fn new(file: &Path) -> Self {
        Self { file: file.to_path_buf(), last: None }
    }

    /// Begins to read the file.
    pub fn start(&mut self) {
        let file = self.file.clone();
        self.last = Some(tokio::task::spawn_blocking(move || read(&file)));
    }

    /// Waits for the result of the read that was begun last; for ever where there is none.
    pub async fn finished(&mut self) -> Result<Config, RunError> {
        let Some(read) = &mut self.last else { return std::future::pending().await };
        let result = read.await;
        self.last = None;
        result.unwrap_or(Err(RunError::Panicked))
    }
}
