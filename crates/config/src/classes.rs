//! `[[class]]`: the latency objective, time budget and idempotency of each class of requests.

use crate::config::{MAX_SECONDS, read_name};
use crate::table::Table;
use weirusher::{Class, DedupScope, Idempotency};

const MILLIS_PER_SECOND: f64 = 1000.0;
const DEFAULT_LATENCY_OBJECTIVE_MS: f64 = 1000.0;
/// The time budget of a class that does not state one, as a multiple of its latency objective.
const DEFAULT_TIME_BUDGET_MULTIPLE: f64 = 3.0;

/// The classes and their names, in file order.
pub(crate) struct Classes {
    pub classes: Vec<Class>,
    pub names: Vec<String>,
}

impl Classes {
    pub fn read(root: &mut Table<'_, '_>) -> Self {
        let (mut classes, mut names) = (Vec::new(), Vec::new());
        for mut table in root.tables("class") {
            read_name(&mut table, &mut names, "classes");
            classes.push(read_class(&mut table));
            table.finish();
        }
        if classes.is_empty() {
            root.report_missing("[[class]]", "expected at least one class, with `name` and `aim_ms`");
        }
        Self { classes, names }
    }
}

fn read_class(table: &mut Table<'_, '_>) -> Class {
    let millis = 1.0..=MAX_SECONDS * MILLIS_PER_SECOND;
    let mut class = Class::default();
    class.latency_objective =
        table.number("aim_ms", DEFAULT_LATENCY_OBJECTIVE_MS, millis.clone()) / MILLIS_PER_SECOND;
    class.late_weight = table.number("late_worth", 0.0, 0.0..=1.0);
    if let Some(idempotency) = read_idempotency(table) {
        class.idempotency = idempotency;
    }
    let default_ms = class.latency_objective * (DEFAULT_TIME_BUDGET_MULTIPLE * MILLIS_PER_SECOND);
    class.deadline = table.number("patience_ms", default_ms, millis) / MILLIS_PER_SECOND;
    if class.deadline < class.latency_objective {
        let hint = "`patience_ms` must be at least `aim_ms`".to_string();
        table.add_problem(
            "`patience_ms` is less than `aim_ms`: clients would give up before the latency objective",
            hint,
        );
    }
    class
}

/// Reads the idempotency of a class from `effect`, `group` and `window_seconds`.
fn read_idempotency(table: &mut Table<'_, '_>) -> Option<Idempotency> {
    let window = table.number("window_seconds", 0.0, 0.0..=MAX_SECONDS);
    let group = table.string("group").map_or_else(|| "all".to_string(), |group| group.value);
    let effect = table.string("effect")?;
    let idempotency = parse_idempotency(&effect.value, &group, window);
    if idempotency.is_none() {
        let message = format!("unknown `effect` \"{}\" or `group` \"{group}\"", effect.value);
        let hint = "`effect` must be safe, keyed or unsafe; `group` must be all, zone or cell".to_string();
        table.problems.add(effect.offset, message, hint);
    }
    idempotency
}

/// Converts the values of `effect` and `group`; `None` if one is unknown. `window` is in seconds.
fn parse_idempotency(effect: &str, group: &str, window: f64) -> Option<Idempotency> {
    let scope = match group {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => return None,
    };
    Some(match effect {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NonIdempotent,
        "keyed" => Idempotency::Keyed { scope, window },
        _ => return None,
    })
}
