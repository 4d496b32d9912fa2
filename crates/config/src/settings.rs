//! `[instance]`, `[limits]` and `[cold]`: the tables that only set fields of [`Settings`].

use crate::config::MAX_SECONDS;
use crate::table::Table;
use weirusher::Settings;

const MAX_INSTANCES: u32 = 100_000;
const MAX_ZONE: u32 = 10_000;
/// Maximum number of customers whose state is kept, about 150 MB.
const MAX_CUSTOMERS: u32 = 1 << 18;
const MAX_OPEN_REQUESTS: u32 = 10_000_000;
const MAX_ATTEMPTS: u32 = 100;
/// Maximum of `fall_multiple`, the multiple of its capacity at which a backend is overloaded.
const MAX_OVERLOAD_MULTIPLE: f64 = 1000.0;
/// Minimum of `fall_seconds`, the time at that load after which a backend is overloaded.
const MIN_OVERLOAD_SECONDS: f64 = 0.001;

/// Reads `[instance]`: the number of this gateway, the number of gateways, and the zone.
pub(crate) fn read_instance(root: &mut Table<'_, '_>, settings: &mut Settings) {
    let Some(mut table) = root.table("instance") else {
        return root.report_missing("[instance]", "expected a table with `number` and `gateways`");
    };
    settings.instances = table.whole_number("gateways", 1, 1..=MAX_INSTANCES);
    settings.instance = table.whole_number("number", 0, 0..=MAX_INSTANCES - 1);
    if settings.instance >= settings.instances {
        let message =
            format!("instance {} of {} gateways: numbers run from 0", settings.instance, settings.instances);
        table.add_problem(message, format!("`number` must be below {}", settings.instances));
    }
    settings.zone = table.whole_number("zone", 0, 0..=MAX_ZONE);
    table.finish();
}

/// Reads `[limits]`: the maximum numbers of open requests and of attempts per request, and the maximum
/// Retry-After.
pub(crate) fn read_limits(root: &mut Table<'_, '_>, settings: &mut Settings) {
    (settings.max_open_requests, settings.max_attempts, settings.max_retry_after) = (10_000, 3, 5.0);
    settings.max_customers = MAX_CUSTOMERS;
    let Some(mut table) = root.table("limits") else { return };
    settings.max_open_requests =
        table.whole_number("open", settings.max_open_requests, 1..=MAX_OPEN_REQUESTS);
    settings.max_attempts = table.whole_number("attempts", settings.max_attempts, 1..=MAX_ATTEMPTS);
    settings.max_retry_after =
        table.number("retry_after_seconds", settings.max_retry_after, 0.0..=MAX_SECONDS);
    settings.sends_retry_after = settings.max_retry_after > 0.0;
    table.finish();
}

/// Reads `[cold]`: the slow start of backends, and when a backend is overloaded.
pub(crate) fn read_slow_start(root: &mut Table<'_, '_>, settings: &mut Settings) {
    let Some(mut table) = root.table("cold") else { return };
    settings.slow_start_min_capacity = table.number("from", 1.0, 0.0..=1.0);
    settings.slow_start_seconds = table.number("seconds", 0.0, 0.0..=MAX_SECONDS);
    settings.overload_multiple = table.number("fall_multiple", 1.0, 0.0..=MAX_OVERLOAD_MULTIPLE);
    settings.overload_seconds = table.number("fall_seconds", 1.0, MIN_OVERLOAD_SECONDS..=MAX_SECONDS);
    table.finish();
}
