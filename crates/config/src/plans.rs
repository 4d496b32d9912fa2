//! `[[plan]]`: the quotas, ceilings and weights of customers.

use crate::config::{MAX_AMOUNT, read_name};
use crate::table::Table;
use weirusher::Plan;

/// The plans and their names, in file order.
pub(crate) struct Plans {
    pub plans: Vec<Plan>,
    pub names: Vec<String>,
}

impl Plans {
    pub fn read(root: &mut Table<'_, '_>) -> Self {
        let (mut plans, mut names) = (Vec::new(), Vec::new());
        for mut table in root.tables("plan") {
            read_name(&mut table, &mut names, "plans");
            plans.push(read_plan(&mut table));
            table.finish();
        }
        if plans.is_empty() {
            root.report_missing("[[plan]]", "expected at least one plan, with `name`, `rate` and `burst`");
        }
        Self { plans, names }
    }
}

fn read_plan(table: &mut Table<'_, '_>) -> Plan {
    let amount = 0.0..=MAX_AMOUNT;
    let mut plan = Plan::default();
    plan.rate = table.number("rate", 0.0, amount.clone());
    plan.burst = table.number("burst", plan.rate.max(1.0), amount.clone());
    plan.max_concurrent = table.whole_number("open", 0, 0..=u32::MAX);
    plan.priority_weight = table.number("pays", 1.0, amount.clone());
    plan.over_quota_weight = table.number("excess_worth", 0.0, amount.clone());
    plan.over_quota_cost = table.number("overrun_cost", 0.0, amount.clone());
    plan.ceiling_rate = table.number("ceiling_rate", 0.0, amount.clone());
    plan.ceiling_burst = table.number("ceiling_burst", 0.0, amount);
    if plan.rate > 0.0 && plan.burst < 1.0 {
        let message = format!("a burst of {} admits no request of one unit", plan.burst);
        table.add_problem(message, "`burst` must be at least the units of the largest request".to_string());
    }
    if plan.ceiling_rate > 0.0 && (plan.ceiling_rate < plan.rate || plan.ceiling_burst < plan.burst) {
        let hint = "`ceiling_rate` and `ceiling_burst` must be at least `rate` and `burst`".to_string();
        table.add_problem("the hard ceiling is below the quota", hint);
    }
    plan
}
