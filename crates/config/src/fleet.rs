//! `[fleet]`: the members of the fleet. The table is part of the configuration of `run`; for `node`, it is in
//! a separate file.

use crate::address::{address, loopback_address};
use crate::listen::ANY_ADMIN_ADDRESS;
use crate::problem::ConfigError;
use crate::table::{self, Table};
use std::collections::HashMap;
use std::net::SocketAddr;
use weirusher_fleet::{MAX_MEMBERS, MIN_KEY_BYTES, MembershipSettings};

/// Maximum of `clock_shift_seconds` in either direction: one year, as no clock is assumed to be further off.
const MAX_CLOCK_SHIFT_SECONDS: f64 = 366.0 * 86_400.0;

/// How a gateway takes part in its fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The UDP address that datagrams are received at and sent from.
    pub listen: SocketAddr,
    /// The listening address of the fleet page of a `node`. `None` for `run`, whose admin page in `[listen]`
    /// includes the fleet.
    pub admin: Option<SocketAddr>,
    /// The number of this gateway, the members and the key.
    pub settings: MembershipSettings,
    /// Seconds that are added to the wall clock. Set by fault-injection runs to simulate a wrong clock.
    pub clock_shift_seconds: f64,
}

/// The file that contains `[fleet]`.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FleetFile {
    /// A configuration with `[instance]`, which states the number of this gateway and the number of gateways.
    WithInstance { number: u32, gateways: u32 },
    /// A file that contains no other table.
    Standalone,
}

impl FleetConfig {
    /// Parses and validates a file that contains only `[fleet]`.
    ///
    /// # Errors
    /// All problems in the file, in the order of their positions.
    pub fn parse(source: &str) -> Result<Self, ConfigError> {
        table::parse(source, "the file", |root| {
            let config = Self::read(root, FleetFile::Standalone);
            if config.is_none() {
                root.report_missing("[fleet]", "expected a table with `number`, `members` and `key`");
            }
            config
        })
    }

    pub(crate) fn read(root: &mut Table<'_, '_>, file: FleetFile) -> Option<Self> {
        let mut table = root.table("fleet")?;
        let members = read_members(&mut table, file);
        let (number, admin) = match file {
            FleetFile::WithInstance { number, .. } => (number, None),
            FleetFile::Standalone => {
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
        // A missing address was reported as a problem, so this placeholder is never used.
        let unused = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = MembershipSettings { instance, members, key };
        Some(Self { listen: listen.unwrap_or(unused), admin, settings, clock_shift_seconds })
    }
}

fn read_members(table: &mut Table<'_, '_>, file: FleetFile) -> Vec<SocketAddr> {
    let Some(addresses) = table.strings("members") else {
        table
            .report_missing("members", "expected the address of each gateway, in the order of their numbers");
        return Vec::new();
    };
    let mut members: Vec<SocketAddr> = Vec::with_capacity(addresses.len().min(MAX_MEMBERS));
    let mut numbers_by_address = HashMap::new();
    for (number, text) in addresses.iter().enumerate() {
        let Some(address) = loopback_address(table, "members", text) else { continue };
        if address.port() == 0 {
            let hint = "the other members must know the port before this one listens".to_string();
            let message = format!("member {number} has no port: \"{}\"", text.value);
            table.problems.add(text.offset, message, hint);
        } else if let Some(first) = numbers_by_address.insert(address, number) {
            let hint = "member addresses must be unique".to_string();
            let message = format!("member {number} has the address {address} of member {first}");
            table.problems.add(text.offset, message, hint);
        }
        members.push(address);
    }
    check_member_count(table, addresses.len(), file);
    members
}

fn check_member_count(table: &Table<'_, '_>, count: usize, file: FleetFile) {
    if let FleetFile::WithInstance { gateways, .. } = file
        && count != gateways as usize
    {
        let message = format!("{count} members, but `gateways` in [instance] is {gateways}");
        let hint = "expected one member for each gateway of the fleet, including those that do not run yet"
            .to_string();
        table.add_problem(message, hint);
    }
    if !(2..=MAX_MEMBERS).contains(&count) {
        let hint = format!("expected 2 to {MAX_MEMBERS}; omit [fleet] to disable membership");
        table.add_problem(format!("a fleet of {count} members"), hint);
    }
}

fn read_number(table: &mut Table<'_, '_>, members: usize) -> u32 {
    let Some(number) = table.optional_number("number", 0.0..=(MAX_MEMBERS - 1) as f64) else {
        table.report_missing("number", "expected the index of this gateway in `members`, from 0");
        return 0;
    };
    if number.value.fract() != 0.0 || number.value as usize >= members {
        let message = format!("`number` in [fleet] is {}, of {members} members", number.value);
        table.problems.add(number.offset, message, format!("expected a whole number below {members}"));
    }
    number.value as u32
}

fn read_key(table: &mut Table<'_, '_>) -> Vec<u8> {
    match table.string("key") {
        None => table.report_missing("key", "expected a secret that only the gateways of this fleet know"),
        Some(key) if key.value.len() < MIN_KEY_BYTES => {
            let message = format!("a key of {} bytes can be guessed", key.value.len());
            table.problems.add(
                key.offset,
                message,
                format!("expected at least {MIN_KEY_BYTES} random bytes"),
            );
        }
        Some(key) => return key.value.into_bytes(),
    }
    Vec::new()
}
