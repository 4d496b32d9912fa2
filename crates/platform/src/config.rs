//! The configuration file that a gateway instance gets from the platform.

use crate::list::{ListError, ListMessage, ListUpdate};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use weirusher::{EndpointListKind, PlatformSettings, PlatformSettingsError};

/// The file as it is written.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: Value,
    limits: Limits,
    counter: Option<SocketAddr>,
    #[serde(rename = "known")]
    cached_list: Option<Value>,
    settings: Value,
}

/// The resources that the process may use.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Limits {
    /// Cores; may be a fraction of one.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
}

/// The configuration of a gateway instance.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where the counter is, if there is one.
    pub counter: Option<SocketAddr>,
    /// The seed of all randomness; another one at each start.
    pub seed: u64,
    /// The resources that it may use.
    pub limits: Limits,
    /// The endpoint list that this instance had last. An invalid one does not prevent a start or a reload, because
    /// discovery has a newer one.
    pub cached_list: Result<Option<ListUpdate>, ListError>,
    /// The platform's settings, which the decisions follow.
    pub platform: PlatformSettings,
}

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file does not have the expected form.
    #[error("it cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The settings in it cannot be used.
    #[error(transparent)]
    Settings(#[from] PlatformSettingsError),
    /// The seed is not a number.
    #[error("seed: neither a number nor hex digits")]
    Seed,
}

fn parse_seed(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| u64::from_str_radix(value.as_str()?.trim_start_matches("0x"), 16).ok())
}

impl Config {
    /// The fields in which `newer` differs from this configuration and that a running instance does not follow. It
    /// follows the addresses of discovery and the counter, and keeps the other settings until its end. The seed differs
    /// in every file and is not reported.
    pub fn changes_requiring_restart(&self, newer: &Self) -> Vec<&'static str> {
        let (old, new) = (&self.platform, &newer.platform);
        let unchanged = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("limits", self.limits == newer.limits),
            ("settings.Dcs", old.zones == new.zones),
            ("settings.Classes", old.classes == new.classes && old.settings.classes == new.settings.classes),
            ("settings.Plans", old.plans == new.plans && old.settings.plans == new.settings.plans),
            ("settings", old == new),
        ];
        unchanged.into_iter().filter(|(_, unchanged)| !unchanged).map(|(field, _)| field).collect()
    }

    /// Parses the text of the file.
    ///
    /// # Errors
    /// What in it cannot be used.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_slice(text)?;
        let platform = PlatformSettings::read(&file.settings)?;
        let cached_list = file.cached_list.map(|list| {
            ListMessage::deserialize(list)?.into_update(&platform.zones, EndpointListKind::StaleSnapshot)
        });
        Ok(Self {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            counter: file.counter,
            seed: parse_seed(&file.seed).ok_or(ConfigError::Seed)?,
            limits: file.limits,
            cached_list: cached_list.transpose(),
            platform,
        })
    }
}
