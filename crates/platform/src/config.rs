//! The configuration that a gateway finds on the platform.

use crate::list::{BadList, ListUpdate, Listing};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use weirusher::{EndpointListKind, PlatformSettings, PlatformSettingsError};

/// The file's form.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: Value,
    limits: Limits,
    counter: Option<SocketAddr>,
    known: Option<Value>,
    settings: Value,
}

/// What the processes of a gateway may use.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Limits {
    /// Share of a core.
    pub cores: f64,
    /// Megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
}

/// A gateway's configuration.
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
    /// For random numbers; new with each start.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The list as this gateway last had it. One that cannot be used is no reason not to start, or not to move:
    /// discovery tells a younger one.
    pub known: Result<Option<ListUpdate>, BadList>,
    /// What it decides by.
    pub site: PlatformSettings,
}

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no such file.
    #[error("it cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// Its settings cannot be used.
    #[error(transparent)]
    Settings(#[from] PlatformSettingsError),
    /// Its seed is no number.
    #[error("seed: neither a number nor hex digits")]
    Seed,
}

fn seed(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| u64::from_str_radix(value.as_str()?.trim_start_matches("0x"), 16).ok())
}

impl Config {
    /// What of `newer` a gateway that runs by `self` does not follow: it moves to other addresses of discovery and
    /// the counter, and decides by the settings that it started with until its end. The seed is new in every file.
    pub fn not_followed(&self, newer: &Self) -> Vec<&'static str> {
        let (old, new) = (&self.site, &newer.site);
        let same = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("limits", self.limits == newer.limits),
            ("settings.Dcs", old.zones == new.zones),
            ("settings.Classes", old.classes == new.classes && old.settings.classes == new.settings.classes),
            ("settings.Plans", old.plans == new.plans && old.settings.plans == new.settings.plans),
            ("settings", old == new),
        ];
        same.into_iter().filter(|(_, same)| !same).map(|(field, _)| field).collect()
    }

    /// Reads the file's text.
    ///
    /// # Errors
    /// What of it cannot be used.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_slice(text)?;
        let site = PlatformSettings::read(&file.settings)?;
        let known = file.known.map(|list| {
            Listing::deserialize(list)?.into_update(&site.zones, EndpointListKind::StaleSnapshot)
        });
        Ok(Self {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            counter: file.counter,
            seed: seed(&file.seed).ok_or(ConfigError::Seed)?,
            limits: file.limits,
            known: known.transpose(),
            site,
        })
    }
}
