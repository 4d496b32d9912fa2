//! `[request]`, `[[route]]`, `[customers]` and `default_plan`: how the attributes of an `ext_authz` check are
//! converted to a request.

use crate::classes::Classes;
use crate::config::MAX_AMOUNT;
use crate::plans::Plans;
use crate::table::{Located, Table};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Header in which Envoy states the timeout of the request in milliseconds.
const ENVOY_TIMEOUT_HEADER: &str = "x-envoy-expected-rq-timeout-ms";
const CUSTOMER_HEADER: &str = "x-customer";
const TICKET_HEADER: &str = "x-weirusher-ticket";
const BACKEND_HEADER: &str = "x-weirusher-server";
const TIMEOUT_HEADER: &str = "x-weirusher-timeout";
/// Minimum of `max_units`.
const MIN_MAX_UNITS: f64 = 0.001;

/// How the units of a request are determined.
#[derive(Debug, Clone)]
pub struct UnitsRule {
    /// Header that states the units, if one is configured.
    pub header: Option<String>,
    /// Units of a request without the header.
    pub default: f64,
}

/// The class of requests whose path starts with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Prefix of the paths that the route applies to.
    pub prefix: String,
    /// The index of the class.
    pub class: usize,
}

/// How the attributes of an `ext_authz` check are converted to a request.
#[derive(Debug, Clone)]
pub struct RequestRules {
    /// Header that names the customer.
    pub customer_header: String,
    /// How the units of a request are determined.
    pub units: UnitsRule,
    /// Maximum units of a request.
    pub max_units: f64,
    /// Header that states the client's time budget in milliseconds.
    pub time_budget_header: Option<String>,
    /// Header that carries the ticket.
    pub ticket_header: String,
    /// Header that names the chosen backend.
    pub backend_header: String,
    /// Header that states the attempt's timeout.
    pub timeout_header: String,
    /// Header that states the range of gateways that serve the customer.
    pub instances_header: Option<String>,
    /// Classes by path prefix, the longest prefix first.
    pub routes: Vec<Route>,
    /// Time budget in seconds by class, for requests that state none.
    pub class_time_budgets: Vec<f64>,
    /// Indexes of plans by customer.
    pub plans: HashMap<String, usize>,
    /// Index of the plan for customers that are not listed in `plans`.
    pub default_plan: Option<usize>,
}

impl Default for RequestRules {
    fn default() -> Self {
        Self {
            customer_header: CUSTOMER_HEADER.into(),
            units: UnitsRule { header: None, default: 1.0 },
            max_units: 1.0,
            time_budget_header: Some(ENVOY_TIMEOUT_HEADER.into()),
            ticket_header: TICKET_HEADER.into(),
            backend_header: BACKEND_HEADER.into(),
            timeout_header: TIMEOUT_HEADER.into(),
            instances_header: None,
            routes: Vec::new(),
            class_time_budgets: Vec::new(),
            plans: HashMap::new(),
            default_plan: None,
        }
    }
}

impl RequestRules {
    pub(crate) fn read(root: &mut Table<'_, '_>, plans: &Plans, classes: &Classes) -> Self {
        let mut rules = Self::default();
        if let Some(mut table) = root.table("request") {
            rules.read_headers(&mut table);
            rules.max_units = table.number("max_units", 1.0, MIN_MAX_UNITS..=MAX_AMOUNT);
            rules.units.default = table.number("units", 1.0, 0.0..=rules.max_units);
            table.finish();
        }
        rules.check_bursts(root, plans);
        rules.read_routes(root, classes);
        rules.read_customers(root, plans);
        rules.class_time_budgets = classes.classes.iter().map(|class| class.deadline).collect();
        rules
    }

    fn read_headers(&mut self, table: &mut Table<'_, '_>) {
        self.customer_header = read_header(table, "customer_header", CUSTOMER_HEADER);
        self.ticket_header = read_header(table, "ticket_header", TICKET_HEADER);
        self.backend_header = read_header(table, "server_header", BACKEND_HEADER);
        self.timeout_header = read_header(table, "timeout_header", TIMEOUT_HEADER);
        let optional = |name: String| (!name.is_empty()).then_some(name);
        self.units.header = optional(read_header(table, "units_header", ""));
        self.time_budget_header = optional(read_header(table, "patience_header", ENVOY_TIMEOUT_HEADER));
        self.instances_header = optional(read_header(table, "spread_header", ""));
    }

    /// Reports plans whose burst is smaller than the largest request.
    fn check_bursts(&self, root: &Table<'_, '_>, plans: &Plans) {
        for (plan, name) in plans.plans.iter().zip(&plans.names) {
            if plan.rate > 0.0 && plan.burst < self.max_units {
                let message = format!("plan \"{name}\" has a burst of {}, less than `max_units`", plan.burst);
                let hint = "a request of `max_units` units could never be admitted".to_string();
                root.add_problem(message, hint);
            }
        }
    }

    fn read_routes(&mut self, root: &mut Table<'_, '_>, classes: &Classes) {
        for mut table in root.tables("route") {
            let prefix = table.string("prefix").map_or_else(String::new, |prefix| prefix.value);
            match table.string("class") {
                Some(class) => {
                    let class = find_name(root, &classes.names, &class, "class");
                    self.routes.extend(class.map(|class| Route { prefix, class }));
                }
                None => table.report_missing("class", "expected the name of a [[class]]"),
            }
            table.finish();
        }
        self.routes.sort_by_key(|route| Reverse(route.prefix.len()));
        if self.routes.is_empty() {
            self.routes.push(Route { prefix: String::new(), class: 0 });
        }
    }

    fn read_customers(&mut self, root: &mut Table<'_, '_>, plans: &Plans) {
        if let Some(mut table) = root.table("customers") {
            for (customer, plan) in table.remaining_strings() {
                let plan = find_name(root, &plans.names, &plan, "plan");
                self.plans.extend(plan.map(|plan| (customer, plan)));
            }
        }
        let default_plan = root.string("default_plan");
        self.default_plan = default_plan.and_then(|name| find_name(root, &plans.names, &name, "plan"));
    }
}

/// Reads a header name, which must be in lower case, as in HTTP/2.
fn read_header(table: &mut Table<'_, '_>, key: &'static str, default: &str) -> String {
    let Some(Located { value: name, offset }) = table.string(key) else { return default.to_string() };
    let malformed = |c: char| c.is_whitespace() || c == ':';
    if name != name.to_ascii_lowercase() || name.contains(malformed) {
        let hint = "expected lower case, without spaces or colons".to_string();
        table.problems.add(offset, format!("\"{name}\" is not a lower-case header name"), hint);
    }
    name
}

/// Looks up the index of a plan or class by name, and reports an unknown name.
fn find_name(root: &Table<'_, '_>, names: &[String], name: &Located<String>, what: &str) -> Option<usize> {
    let found = names.iter().position(|known| *known == name.value);
    if found.is_none() {
        let message = format!("unknown {what} \"{}\"", name.value);
        root.problems.add(name.offset, message, format!("known names: {}", names.join(", ")));
    }
    found
}
