//! The other gateways: `[fleet]`, in the configuration of `run` or in a file of its own for `node`.

use crate::reader::{self, Problem, Table};
use crate::schema::{address, loopback};
use std::collections::HashMap;
use std::net::SocketAddr;
use weirusher_fleet::{MAX_MEMBERS, MIN_KEY_BYTES, Settings};

/// A year, in seconds: no clock is taken for further off.
const MOST_SHIFT: f64 = 366.0 * 86_400.0;

/// How a gateway takes part in its fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Where datagrams are received and sent from.
    pub listen: SocketAddr,
    /// Where the admin page of a `node` listens; that of `run` is the gateway's own.
    pub admin: Option<SocketAddr>,
    /// Its number, the members and the key.
    pub settings: Settings,
    /// Seconds by which it is made to take the wall clock for ahead, or behind: rehearsals ask for it.
    pub clock_shift_seconds: f64,
}

/// Whose `[fleet]` it is.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Member {
    /// Of a configuration that has `[instance]`: its number, and how many gateways there are.
    Instance(u32, u32),
    /// Of a file that holds nothing else.
    Alone,
}

impl FleetConfig {
    /// Reads and checks a file that holds `[fleet]` only.
    ///
    /// # Errors
    /// All that is wrong in it, by place.
    pub fn parse(source: &str) -> Result<Self, Vec<Problem>> {
        reader::parse(source, "the file", |root| {
            let config = read(root, Member::Alone);
            if config.is_none() {
                root.missing("[fleet]", "a table with `number`, `members` and `key`");
            }
            config
        })
    }
}

pub(crate) fn read(root: &mut Table<'_, '_>, whose: Member) -> Option<FleetConfig> {
    let mut table = root.table("fleet")?;
    let members = members(&mut table, whose);
    let (me, admin) = match whose {
        Member::Instance(number, _) => (number, None),
        Member::Alone => {
            let admin = address(&mut table, "admin", Some("127.0.0.1:0"));
            (number(&mut table, members.len()), admin)
        }
    };
    let own = members.get(me as usize).copied();
    let listen = own.and_then(|own| address(&mut table, "listen", Some(&own.to_string())));
    let key = key(&mut table);
    let clock_shift_seconds = table.number("clock_shift_seconds", 0.0, -MOST_SHIFT, MOST_SHIFT);
    table.finish();
    let me = u16::try_from(me).unwrap_or(u16::MAX);
    // What lacks was told; the table itself is there.
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings { instance: me, members, key };
    Some(FleetConfig { listen: listen.unwrap_or(anywhere), admin, settings, clock_shift_seconds })
}

fn members(table: &mut Table<'_, '_>, whose: Member) -> Vec<SocketAddr> {
    let Some(texts) = table.list("members") else {
        table.missing("members", "the address of each gateway, in the order of their numbers");
        return Vec::new();
    };
    let mut members: Vec<SocketAddr> = Vec::with_capacity(texts.len().min(MAX_MEMBERS));
    let mut seen = HashMap::new();
    for (number, (text, at)) in texts.iter().enumerate() {
        let Some(address) = loopback(table, "members", text, *at) else { continue };
        if address.port() == 0 {
            let hint = "the others must know it before it listens".to_string();
            table.problems.add(*at, format!("member {number} has no port: \"{text}\""), hint);
        } else if let Some(first) = seen.insert(address, number) {
            let hint = "each member has an address of its own".to_string();
            table.problems.add(*at, format!("member {number} is at {address}, as member {first} is"), hint);
        }
        members.push(address);
    }
    let count = texts.len();
    if let Member::Instance(_, gateways) = whose
        && count != gateways as usize
    {
        let message = format!("{count} members, where `gateways` in [instance] is {gateways}");
        let hint = "one for each gateway of the fleet, those that do not run yet included".to_string();
        table.problems.add(table.at(), message, hint);
    }
    if !(2..=MAX_MEMBERS).contains(&count) {
        let message = format!("a fleet of {count} members");
        table.problems.add(table.at(), message, format!("2 to {MAX_MEMBERS}; without [fleet] it is off"));
    }
    members
}

fn number(table: &mut Table<'_, '_>, members: usize) -> u32 {
    let Some((number, at)) = table.number_at("number", 0.0, (MAX_MEMBERS - 1) as f64) else {
        table.missing("number", "which of `members` this gateway is, from 0");
        return 0;
    };
    if number.fract() != 0.0 || number as usize >= members {
        let message = format!("`number` in [fleet] is {number}, of {members} members");
        let hint = format!("a whole number below {members}");
        table.problems.add(at, message, hint);
    }
    number as u32
}

fn key(table: &mut Table<'_, '_>) -> Vec<u8> {
    match table.text("key") {
        None => table.missing("key", "a text that only this fleet's gateways know"),
        Some((key, at)) if key.len() < MIN_KEY_BYTES => {
            let message = format!("a key of {} bytes can be guessed", key.len());
            table.problems.add(at, message, format!("{MIN_KEY_BYTES} bytes or more, at random"));
        }
        Some((key, _)) => return key.into_bytes(),
    }
    Vec::new()
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
[fleet]
number = 1
members = ["127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402"]
key = "0123456789abcdef0123456789abcdef"
"#;

    fn wrong(from: &str, to: &str) -> String {
        assert!(GOOD.contains(from));
        let text = GOOD.replace(from, to);
        crate::render("fleet.toml", &text, &FleetConfig::parse(&text).expect_err("a broken file passes"))
    }

    #[test]
    fn a_good_file_is_read_and_listens_at_its_own_address() {
        let config = FleetConfig::parse(GOOD).unwrap();
        assert_eq!((config.settings.instance, config.settings.members.len()), (1, 3));
        assert_eq!(config.listen, config.settings.members[1]);
        let elsewhere = GOOD.replace("number", "listen = \"127.0.0.2:1\"\nnumber");
        assert_eq!(FleetConfig::parse(&elsewhere).unwrap().listen.to_string(), "127.0.0.2:1");
    }

    #[test]
    fn each_problem_has_its_line_and_what_is_meant() {
        for (from, to, said) in [
            (
                "127.0.0.1:7401",
                "127.0.0.1:7400",
                "fleet.toml:4:30: member 1 is at 127.0.0.1:7400, as member 0 is",
            ),
            (
                "127.0.0.1:7401",
                "10.0.0.1:7401",
                "fleet.toml:4:30: `members` names 10.0.0.1, which is not loopback",
            ),
            ("127.0.0.1:7401", "127.0.0.1:0", "fleet.toml:4:30: member 1 has no port"),
            ("127.0.0.1:7401", "here", "fleet.toml:4:30: `members` is no address"),
            ("number = 1", "number = 3", "fleet.toml:3:10: `number` in [fleet] is 3, of 3 members"),
            ("number = 1", "number = 0.5", "a whole number below 3"),
            ("number = 1", "", "fleet.toml:2:1: [fleet] lacks `number`"),
            ("key = \"0123456789abcdef0123456789abcdef\"", "", "[fleet] lacks `key`"),
            ("0123456789abcdef0123456789abcdef", "short", "fleet.toml:5:7: a key of 5 bytes can be guessed"),
            (", \"127.0.0.1:7401\", \"127.0.0.1:7402\"", "", "a fleet of 1 members"),
            ("members =", "member =", "`members` is meant?"),
            ("[fleet]", "[flete]", "the file lacks `[fleet]`"),
        ] {
            let text = wrong(from, to);
            assert!(text.contains(said), "{to}: {text}");
        }
    }

    #[test]
    fn all_problems_come_in_one_go() {
        let text =
            "[fleet]\nnumber = 9\nmembers = [\"127.0.0.1:1\", \"127.0.0.1:1\", 3]\nkey = \"x\"\ncolour = 1\n";
        let found = FleetConfig::parse(text).unwrap_err();
        assert_eq!(found.len(), 5, "{found:?}");
    }
}
