//! What a configuration holds, and what must hold between its parts.

use crate::fleet::{self, FleetConfig, Member};
use crate::reader::{self, Problem, Table};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use weirusher::{Class, DedupScope, Idempotency, Plan, Settings};
use weirusher_core::Key;

/// A day, in seconds: no time in a configuration is longer.
const DAY: f64 = 86_400.0;
/// No count or rate in a configuration is more.
const MANY: f64 = 1e9;
/// Header in which Envoy states how long its client waits.
const PATIENCE_HEADER: &str = "x-envoy-expected-rq-timeout-ms";
/// Least bytes of a ticket key's secret.
const LEAST_SECRET: usize = 16;

/// A checked configuration.
#[derive(Debug, Clone)]
#[non_exhaustive]
pub struct Config {
    /// What the module is told, but for what the start of a process adds.
    pub settings: Settings,
    /// Where the gRPC fronts listen.
    pub ext_authz: SocketAddr,
    /// Where the admin page listens.
    pub admin: SocketAddr,
    /// Most connections of the gRPC fronts, and most streams of each.
    pub connections: (u32, u32),
    /// Keys of tickets; the first one signs.
    pub keys: Vec<Key>,
    /// The counter, if there is one.
    pub counter: Option<CounterConfig>,
    /// Where the list of backends comes from.
    pub discovery: DiscoveryConfig,
    /// How a Check's attributes become a request.
    pub request: RequestRules,
    /// Seconds that a stopping gateway waits for what it owes.
    pub drain: f64,
    /// The other gateways, if it is to know of them.
    pub fleet: Option<FleetConfig>,
}

/// The counter.
#[derive(Debug, Clone)]
pub struct CounterConfig {
    /// Its address.
    pub address: SocketAddr,
}

/// Discovery, by EDS.
#[derive(Debug, Clone)]
pub struct DiscoveryConfig {
    /// Its address.
    pub address: SocketAddr,
    /// The cluster asked for.
    pub cluster: String,
    /// File that keeps the last list over restarts.
    pub keep: Option<PathBuf>,
    /// Zones by name; a zone's place is its number.
    pub zones: Vec<String>,
}

/// How a Check's attributes become a request.
#[derive(Debug, Clone, Default)]
pub struct RequestRules {
    /// Header that names the customer.
    pub customer: String,
    /// Header that states units, and the units of a request without it.
    pub units: (Option<String>, f64),
    /// Most units of a request.
    pub max_units: f64,
    /// Header that states the client's patience in milliseconds.
    pub patience: Option<String>,
    /// Header that carries a ticket, that names the backend, and that names the seconds.
    pub headers: [String; 3],
    /// Header that names how many gateways carry the customer, and that names the first.
    pub spread: Option<String>,
    /// Classes by path prefix, longest first.
    pub routes: Vec<(String, usize)>,
    /// Seconds of patience by class, where the request states none.
    pub class_patience: Vec<f64>,
    /// Plans by customer.
    pub plans: HashMap<String, usize>,
    /// Plan of customers not named.
    pub default_plan: Option<usize>,
}

/// Reads an effect: `safe`, `unsafe`, or `keyed`.
pub fn parse_effect(name: &str, group: &str, window: f64) -> Option<Idempotency> {
    let group = match group {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => return None,
    };
    Some(match name {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NonIdempotent,
        "keyed" => Idempotency::Keyed { scope: group, window },
        _ => return None,
    })
}

impl Config {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    /// All that is wrong in it, by place.
    pub fn parse(source: &str) -> Result<Self, Vec<Problem>> {
        reader::parse(source, "the configuration", read)
    }
}

pub(crate) fn address(
    table: &mut Table<'_, '_>,
    key: &'static str,
    default: Option<&str>,
) -> Option<SocketAddr> {
    let Some((text, at)) = table.text(key) else {
        if default.is_none() {
            table.missing(key, "an address such as \"127.0.0.1:9000\"");
        }
        return default.and_then(|d| d.parse().ok());
    };
    loopback(table, key, &text, at)
}

/// An address on loopback.
pub(crate) fn loopback(table: &Table<'_, '_>, key: &str, text: &str, at: usize) -> Option<SocketAddr> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => return Some(address),
        Ok(address) => {
            let hint = "only loopback is served: 127.0.0.1 or [::1]".to_string();
            table.problems.add(at, format!("`{key}` names {}, which is not loopback", address.ip()), hint);
        }
        Err(_) => {
            let hint = "an IP address and a port, such as \"127.0.0.1:9000\"".to_string();
            table.problems.add(at, format!("`{key}` is no address: \"{text}\""), hint);
        }
    }
    None
}

fn read(root: &mut Table<'_, '_>) -> Option<Config> {
    let mut settings = Settings::default();
    let (plan_names, class_names, class_patience);
    (settings.plans, plan_names) = plans(root);
    (settings.classes, class_names, class_patience) = classes(root);
    instance(root, &mut settings);
    limits(root, &mut settings);
    cold(root, &mut settings);
    let fleet = fleet::read(root, Member::Instance(settings.instance, settings.instances));
    let listen = listen(root);
    let keys = tickets(root);
    let counter = counter(root, &mut settings);
    let discovery = discovery(root, &mut settings);
    let mut request = requests(root, &settings, &plan_names, &class_names);
    request.class_patience = class_patience;
    settings.max_request_units = request.max_units;
    let (ext_authz, admin, connections, drain) = listen?;
    Some(Config {
        settings,
        ext_authz,
        admin,
        connections,
        keys,
        counter,
        discovery: discovery?,
        request,
        drain,
        fleet,
    })
}

fn instance(root: &mut Table<'_, '_>, settings: &mut Settings) {
    let Some(mut table) = root.table("instance") else {
        return root.missing("[instance]", "a table with `number` and `gateways`");
    };
    settings.instances = table.whole("gateways", 1, 1, 100_000);
    settings.instance = table.whole("number", 0, 0, 99_999);
    if settings.instance >= settings.instances {
        let message =
            format!("instance {} of {} gateways: numbers run from 0", settings.instance, settings.instances);
        table.problems.add(table.at(), message, format!("`number` must be below {}", settings.instances));
    }
    settings.zone = table.whole("zone", 0, 0, 10_000);
    table.finish();
}

type Listen = (SocketAddr, SocketAddr, (u32, u32), f64);

fn listen(root: &mut Table<'_, '_>) -> Option<Listen> {
    let Some(mut table) = root.table("listen") else {
        root.missing("[listen]", "a table with `ext_authz` and `admin`");
        return None;
    };
    let ext_authz = address(&mut table, "ext_authz", None);
    let admin = address(&mut table, "admin", Some("127.0.0.1:0"));
    let connections = (table.whole("connections", 1024, 1, 65_536), table.whole("streams", 1024, 1, 65_536));
    let drain = table.number("drain_seconds", 10.0, 0.0, DAY);
    table.finish();
    Some((ext_authz?, admin?, connections, drain))
}

fn tickets(root: &mut Table<'_, '_>) -> Vec<Key> {
    let Some(mut table) = root.table("tickets") else {
        root.missing("[tickets]", "a table with [[tickets.keys]], the same on all gateways and backends");
        return Vec::new();
    };
    let (mut keys, mut seen) = (Vec::new(), HashSet::new());
    for mut key in table.tables("keys") {
        let id = key.whole("id", 0, 0, u32::MAX);
        if !seen.insert(id) {
            key.problems.add(
                key.at(),
                format!("two ticket keys have the id {id}"),
                "ids tell keys apart".to_string(),
            );
        }
        match key.text("secret") {
            None => key.missing("secret", "a text that only gateways and backends know"),
            Some((secret, at)) if secret.len() < LEAST_SECRET => {
                let message = format!("a secret of {} bytes can be guessed", secret.len());
                key.problems.add(at, message, format!("{LEAST_SECRET} bytes or more, at random"));
            }
            Some((secret, _)) => keys.push(Key { id, secret: secret.into_bytes() }),
        }
        key.finish();
    }
    if keys.is_empty() && seen.is_empty() {
        table.missing("keys", "one [[tickets.keys]] or more; the first one signs");
    }
    table.finish();
    keys
}

fn counter(root: &mut Table<'_, '_>, settings: &mut Settings) -> Option<CounterConfig> {
    let mut table = root.table("counter")?;
    settings.has_counter = true;
    settings.counter_timeout = table.number("limit_ms", 50.0, 1.0, 10_000.0) / 1000.0;
    let address = address(&mut table, "address", None);
    table.finish();
    Some(CounterConfig { address: address? })
}

fn discovery(root: &mut Table<'_, '_>, settings: &mut Settings) -> Option<DiscoveryConfig> {
    let Some(mut table) = root.table("discovery") else {
        root.missing("[discovery]", "a table with `address`, where EDS is served");
        return None;
    };
    settings.polls_endpoints = true;
    let address = address(&mut table, "address", None);
    let cluster = table.text("cluster").map_or_else(|| "checkers".to_string(), |(name, _)| name);
    let keep = table.text("keep").map(|(path, _)| PathBuf::from(path));
    let zones = table
        .text("zones")
        .map_or_else(Vec::new, |(names, _)| names.split(',').map(|name| name.trim().to_string()).collect());
    table.finish();
    Some(DiscoveryConfig { address: address?, cluster, keep, zones })
}

fn limits(root: &mut Table<'_, '_>, settings: &mut Settings) {
    (settings.max_open_requests, settings.max_attempts, settings.max_retry_after) = (10_000, 3, 5.0);
    let Some(mut table) = root.table("limits") else { return };
    settings.max_open_requests = table.whole("open", settings.max_open_requests, 1, 10_000_000);
    settings.max_attempts = table.whole("attempts", settings.max_attempts, 1, 100);
    settings.max_retry_after = table.number("retry_after_seconds", settings.max_retry_after, 0.0, DAY);
    settings.sends_retry_after = settings.max_retry_after > 0.0;
    table.finish();
}

fn cold(root: &mut Table<'_, '_>, settings: &mut Settings) {
    let Some(mut table) = root.table("cold") else { return };
    settings.slow_start_min_capacity = table.number("from", 1.0, 0.0, 1.0);
    settings.slow_start_seconds = table.number("seconds", 0.0, 0.0, DAY);
    settings.overload_multiple = table.number("fall_multiple", 1.0, 0.0, 1000.0);
    settings.overload_seconds = table.number("fall_seconds", 1.0, 0.001, DAY);
    table.finish();
}

fn named(table: &mut Table<'_, '_>, seen: &mut Vec<String>, what: &str) {
    let name = match table.text("name") {
        Some((name, at)) => {
            if seen.contains(&name) {
                let hint = "names tell them apart; the second one would never be used".to_string();
                table.problems.add(at, format!("two {what} are called \"{name}\""), hint);
            }
            name
        }
        None => {
            table.missing("name", "a name, by which other tables refer to it");
            String::new()
        }
    };
    seen.push(name);
}

fn plans(root: &mut Table<'_, '_>) -> (Vec<Plan>, Vec<String>) {
    let (mut plans, mut names) = (Vec::new(), Vec::new());
    for mut table in root.tables("plan") {
        named(&mut table, &mut names, "plans");
        let mut plan = Plan::default();
        plan.rate = table.number("rate", 0.0, 0.0, MANY);
        plan.burst = table.number("burst", plan.rate.max(1.0), 0.0, MANY);
        plan.max_concurrent = table.whole("open", 0, 0, u32::MAX);
        plan.priority_weight = table.number("pays", 1.0, 0.0, MANY);
        plan.over_quota_weight = table.number("excess_worth", 0.0, 0.0, MANY);
        plan.over_quota_cost = table.number("overrun_cost", 0.0, 0.0, MANY);
        plan.ceiling_rate = table.number("ceiling_rate", 0.0, 0.0, MANY);
        plan.ceiling_burst = table.number("ceiling_burst", 0.0, 0.0, MANY);
        if plan.rate > 0.0 && plan.burst < 1.0 {
            let message = format!("a burst of {} lets no request of one unit through", plan.burst);
            table.problems.add(table.at(), message, "`burst` holds the largest request or more".to_string());
        }
        if plan.ceiling_rate > 0.0 && (plan.ceiling_rate < plan.rate || plan.ceiling_burst < plan.burst) {
            let message = "the hard ceiling lies below the quota".to_string();
            let hint = "`ceiling_rate` and `ceiling_burst` are at least `rate` and `burst`".to_string();
            table.problems.add(table.at(), message, hint);
        }
        table.finish();
        plans.push(plan);
    }
    if plans.is_empty() {
        root.missing("[[plan]]", "one plan or more, with `name`, `rate` and `burst`");
    }
    (plans, names)
}

fn classes(root: &mut Table<'_, '_>) -> (Vec<Class>, Vec<String>, Vec<f64>) {
    let (mut classes, mut names, mut patience) = (Vec::new(), Vec::new(), Vec::new());
    for mut table in root.tables("class") {
        named(&mut table, &mut names, "classes");
        let mut class = Class::default();
        class.latency_objective = table.number("aim_ms", 1000.0, 1.0, DAY * 1000.0) / 1000.0;
        class.late_weight = table.number("late_worth", 0.0, 0.0, 1.0);
        let window = table.number("window_seconds", 0.0, 0.0, DAY);
        let group = table.text("group").map_or_else(|| "all".to_string(), |(group, _)| group);
        if let Some((effect, at)) = table.text("effect") {
            match parse_effect(&effect, &group, window) {
                Some(effect) => class.idempotency = effect,
                None => {
                    let hint = "`effect` is safe, keyed or unsafe; `group` is all, zone or cell".to_string();
                    table.problems.add(at, format!("no such effect: {effect} in the group {group}"), hint);
                }
            }
        }
        let waits = table.number("patience_ms", class.latency_objective * 3000.0, 1.0, DAY * 1000.0) / 1000.0;
        class.deadline = waits;
        if waits < class.latency_objective {
            let message = "clients give up before the aim".to_string();
            table.problems.add(table.at(), message, "`patience_ms` is `aim_ms` or more".to_string());
        }
        table.finish();
        classes.push(class);
        patience.push(waits);
    }
    if classes.is_empty() {
        root.missing("[[class]]", "one class or more, with `name` and `aim_ms`");
    }
    (classes, names, patience)
}

fn requests(
    root: &mut Table<'_, '_>,
    settings: &Settings,
    plans: &[String],
    classes: &[String],
) -> RequestRules {
    let mut rules = RequestRules { customer: "x-customer".into(), max_units: 1.0, ..RequestRules::default() };
    let tickets = ["x-weirusher-ticket", "x-weirusher-server", "x-weirusher-timeout"];
    rules.headers = tickets.map(String::from);
    rules.units.1 = 1.0;
    rules.patience = Some(PATIENCE_HEADER.into());
    if let Some(mut table) = root.table("request") {
        let mut header = |key, default: &str| {
            let (name, at) = table.text(key).unwrap_or_else(|| (default.to_string(), 0));
            if name != name.to_ascii_lowercase() || name.contains(|c: char| c.is_whitespace() || c == ':') {
                let hint = "lower case, without spaces".to_string();
                table.problems.add(at, format!("\"{name}\" is no header name as it arrives"), hint);
            }
            name
        };
        rules.customer = header("customer_header", "x-customer");
        rules.headers = [
            header("ticket_header", tickets[0]),
            header("server_header", tickets[1]),
            header("timeout_header", tickets[2]),
        ];
        let optional = |name: String| (!name.is_empty()).then_some(name);
        rules.units.0 = optional(header("units_header", ""));
        rules.patience = optional(header("patience_header", PATIENCE_HEADER));
        rules.spread = optional(header("spread_header", ""));
        rules.max_units = table.number("max_units", 1.0, 0.001, MANY);
        rules.units.1 = table.number("units", 1.0, 0.0, rules.max_units);
        table.finish();
    }
    for (place, plan) in settings.plans.iter().enumerate() {
        if plan.rate > 0.0 && plan.burst < rules.max_units {
            let message =
                format!("plan \"{}\" has a burst of {}, less than `max_units`", plans[place], plan.burst);
            root.problems.add(0, message, "a request of that size could never be served".to_string());
        }
    }
    let find = |names: &[String], name: &str, what: &str, at: usize| {
        let found = names.iter().position(|n| n == name);
        if found.is_none() {
            root.problems.add(
                at,
                format!("there is no {what} \"{name}\""),
                format!("there is {}", names.join(", ")),
            );
        }
        found
    };
    let (mut routes, mut customers, mut default) =
        (root.tables("route"), root.table("customers"), root.text("default_plan"));
    for table in &mut routes {
        let prefix = table.text("prefix").map_or_else(String::new, |(prefix, _)| prefix);
        match table.text("class") {
            Some((class, at)) => rules.routes.extend(find(classes, &class, "class", at).map(|c| (prefix, c))),
            None => table.missing("class", "the name of a [[class]]"),
        }
    }
    routes.into_iter().for_each(Table::finish);
    rules.routes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
    if let Some(table) = &mut customers {
        for (customer, plan, at) in table.texts() {
            rules.plans.extend(find(plans, &plan, "plan", at).map(|plan| (customer, plan)));
        }
    }
    rules.default_plan = default.take().and_then(|(name, at)| find(plans, &name, "plan", at));
    if rules.routes.is_empty() {
        rules.routes.push((String::new(), 0));
    }
    rules
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
default_plan = "small"

[instance]
number = 0
gateways = 3

[listen]
ext_authz = "127.0.0.1:0"

[[tickets.keys]]
id = 1
secret = "0123456789abcdef0123456789abcdef"

[counter]
address = "127.0.0.1:6380"

[discovery]
address = "127.0.0.1:7000"

[[plan]]
name = "small"
rate = 1.0
burst = 4

[[class]]
name = "check"
aim_ms = 2000
"#;

    fn problems(from: &str, to: &str) -> Vec<Problem> {
        assert!(GOOD.contains(from));
        Config::parse(&GOOD.replace(from, to)).expect_err("a broken configuration passes")
    }

    #[test]
    fn a_good_configuration_is_read() {
        let config = Config::parse(GOOD).unwrap();
        assert_eq!((config.settings.instances, config.settings.plans[0].burst), (3, 4.0));
        assert_eq!(config.request.default_plan, Some(0));
        assert!(config.settings.has_counter);
    }

    #[test]
    fn each_problem_has_its_place_and_what_is_meant() {
        for (from, to, line, said) in [
            ("gateways = 3", "gatewys = 3", 6, "`gateways` is meant?"),
            ("burst = 4", "burst = \"four\"", 24, "a number is meant"),
            ("burst = 4", "burst = -4", 24, "cannot be -4"),
            ("number = 0", "number = 3", 4, "below 3"),
            ("ext_authz = \"127.0.0.1:0\"", "ext_authz = \"192.168.0.1:80\"", 9, "only loopback"),
            ("default_plan = \"small\"", "default_plan = \"smal\"", 2, "there is small"),
            ("secret = \"0123456789abcdef0123456789abcdef\"", "secret = \"x\"", 13, "can be guessed"),
            ("aim_ms = 2000", "aim_ms = 2000\npatience_ms = 1", 26, "before the aim"),
            ("rate = 1.0", "rate = 1.0\nceiling_rate = 0.5\nceiling_burst = 9", 21, "below the quota"),
            ("[discovery]\naddress = \"127.0.0.1:7000\"", "", 1, "lacks `[discovery]`"),
        ] {
            let found = problems(from, to);
            let text = crate::render("f", &GOOD.replace(from, to), &found);
            assert!(text.contains(said), "{to}: {text}");
            assert!(found.iter().any(|p| p.line == line), "{to}: {found:?}");
        }
    }

    #[test]
    fn all_problems_come_in_one_go() {
        let text =
            GOOD.replace("burst = 4", "burst = -4").replace("gateways = 3", "gateways = 0\ncolour = 1");
        assert_eq!(Config::parse(&text).unwrap_err().len(), 3);
    }
}
