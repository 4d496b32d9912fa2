//! `[fleet]`: the other gateways. It stands in the configuration of `run`, or in a file of its own for `node`.

use crate::address::{address, loopback_address};
use crate::listen::ANY_ADMIN_ADDRESS;
use crate::problem::ConfigError;
use crate::table::{self, Table};
use std::collections::HashMap;
use std::net::SocketAddr;
use weirusher_fleet::{MAX_MEMBERS, MIN_KEY_BYTES, Settings};

/// Seconds of a year: no clock is assumed to be further off.
const MAX_CLOCK_SHIFT_SECONDS: f64 = 366.0 * 86_400.0;

/// How a gateway takes part in its fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Where datagrams are received and sent from.
    pub listen: SocketAddr,
    /// Where the admin page of a `node` listens. That of `run` is the gateway's own.
    pub admin: Option<SocketAddr>,
    /// Its number, the members and the key.
    pub settings: Settings,
    /// Seconds by which its wall clock is taken to stand ahead. Fault-injection runs set it.
    pub clock_shift_seconds: f64,
}

/// The file that `[fleet]` stands in.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FleetFile {
    /// A configuration with `[instance]`, which says the gateway's number and how many there are.
    WithInstance { number: u32, gateways: u32 },
    /// A file that holds nothing else.
    Alone,
}

impl FleetConfig {
    /// Reads and checks a file that holds `[fleet]` only.
    ///
    /// # Errors
    /// Everything that is wrong in it, by place.
    pub fn parse(source: &str) -> Result<Self, ConfigError> {
        table::parse(source, "the file", |root| {
            let config = Self::read(root, FleetFile::Alone);
            if config.is_none() {
                root.missing("[fleet]", "a table with `number`, `members` and `key`");
            }
            config
        })
    }

    pub(crate) fn read(root: &mut Table<'_, '_>, file: FleetFile) -> Option<Self> {
        let mut table = root.table("fleet")?;
        let members = read_members(&mut table, file);
        let (number, admin) = match file {
            FleetFile::WithInstance { number, .. } => (number, None),
            FleetFile::Alone => {
                let admin = address(&mut table, "admin", Some(ANY_ADMIN_ADDRESS));
                (read_number(&mut table, members.len()), admin)
            }
        };
        let own = members.get(number as usize).copied();
        let listen = own.and_then(|own| address(&mut table, "listen", Some(&own.to_string())));
        let key = read_key(&mut table);
        let shift = -MAX_CLOCK_SHIFT_SECONDS..=MAX_CLOCK_SHIFT_SECONDS;
        let clock_shift_seconds = table.number("clock_shift_seconds", 0.0, shift);
        table.finish();
        let instance = u16::try_from(number).unwrap_or(u16::MAX);
        // An address that is missing was reported as a problem: this one is not used.
        let unused = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings { instance, members, key };
        Some(Self { listen: listen.unwrap_or(unused), admin, settings, clock_shift_seconds })
    }
}

fn read_members(table: &mut Table<'_, '_>, file: FleetFile) -> Vec<SocketAddr> {
    let Some(texts) = table.texts("members") else {
        table.missing("members", "the address of each gateway, in the order of their numbers");
        return Vec::new();
    };
    let mut members: Vec<SocketAddr> = Vec::with_capacity(texts.len().min(MAX_MEMBERS));
    let mut first_at = HashMap::new();
    for (number, text) in texts.iter().enumerate() {
        let Some(address) = loopback_address(table, "members", text) else { continue };
        if address.port() == 0 {
            let hint = "the others must know it before it listens".to_string();
            let message = format!("member {number} has no port: \"{}\"", text.value);
            table.problems.add(text.offset, message, hint);
        } else if let Some(first) = first_at.insert(address, number) {
            let hint = "each member has an address of its own".to_string();
            let message = format!("member {number} is at {address}, as member {first} is");
            table.problems.add(text.offset, message, hint);
        }
        members.push(address);
    }
    check_member_count(table, texts.len(), file);
    members
}

fn check_member_count(table: &Table<'_, '_>, count: usize, file: FleetFile) {
    if let FleetFile::WithInstance { gateways, .. } = file
        && count != gateways as usize
    {
        let message = format!("{count} members, where `gateways` in [instance] is {gateways}");
        let hint = "one for each gateway of the fleet, those that do not run yet included".to_string();
        table.add_problem(message, hint);
    }
    if !(2..=MAX_MEMBERS).contains(&count) {
        let hint = format!("2 to {MAX_MEMBERS}; without [fleet] it is off");
        table.add_problem(format!("a fleet of {count} members"), hint);
    }
}

fn read_number(table: &mut Table<'_, '_>, members: usize) -> u32 {
    let Some(number) = table.optional_number("number", 0.0..=(MAX_MEMBERS - 1) as f64) else {
        table.missing("number", "which of `members` this gateway is, from 0");
        return 0;
    };
    if number.value.fract() != 0.0 || number.value as usize >= members {
        let message = format!("`number` in [fleet] is {}, of {members} members", number.value);
        table.problems.add(number.offset, message, format!("a whole number below {members}"));
    }
    number.value as u32
}

fn read_key(table: &mut Table<'_, '_>) -> Vec<u8> {
    match table.text("key") {
        None => table.missing("key", "a text that only this fleet's gateways know"),
        Some(key) if key.value.len() < MIN_KEY_BYTES => {
            let message = format!("a key of {} bytes can be guessed", key.value.len());
            table.problems.add(key.offset, message, format!("{MIN_KEY_BYTES} bytes or more, at random"));
        }
        Some(key) => return key.value.into_bytes(),
    }
    Vec::new()
}
