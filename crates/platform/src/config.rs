//! The configuration file that the platform provides to a gateway instance.

use crate::list::{ListError, ListMessage, ListUpdate};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use weirusher::{EndpointListKind, PlatformSettings, PlatformSettingsError};

/// The JSON form of the file.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: Value,
    limits: Limits,
    counter: Option<SocketAddr>,
    #[serde(rename = "known")]
    cached_list: Option<Box<RawValue>>,
    settings: Value,
}

/// The resource limits of the process.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Limits {
    /// Number of CPU cores, which may be fractional.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
}

/// The configuration of a gateway instance.
#[derive(Debug)]
pub struct Config {
    /// The name of the instance.
    pub name: String,
    /// The address on which it listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// The seed of all randomness. It differs at each start.
    pub seed: u64,
    /// The resource limits of the process.
    pub limits: Limits,
    /// The endpoint list that this instance last used. An invalid list does not prevent a start or a reload,
    /// because discovery provides a newer one.
    pub cached_list: Result<Option<ListUpdate>, ListError>,
    /// The platform's settings, including those of the policy.
    pub platform: PlatformSettings,
}

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON of the expected form.
    #[error("not in the expected form: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The settings in the file are invalid.
    #[error(transparent)]
    Settings(#[from] PlatformSettingsError),
    /// The seed is neither a number nor a string of hex digits.
    #[error("seed is neither a number nor a string of hex digits")]
    Seed,
}

fn parse_seed(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| u64::from_str_radix(value.as_str()?.trim_start_matches("0x"), 16).ok())
}

impl Config {
    /// Returns the fields that differ in `newer` and that take effect only after a restart. A running
    /// instance applies changes to the addresses of discovery and the counter, and keeps all other settings.
    /// The seed differs in every file and is not reported.
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

    /// Parses the content of the file.
    ///
    /// # Errors
    /// The content is malformed, or the seed or a setting is invalid.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_slice(text)?;
        let platform = PlatformSettings::read(&file.settings)?;
        let cached_list = file.cached_list.map(|list| {
            ListMessage::parse(list.get().as_bytes())?.into_update(EndpointListKind::StaleSnapshot)
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
