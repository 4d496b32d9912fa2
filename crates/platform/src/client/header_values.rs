//! Parsers for the target and the header values of a client request. Each returns `None` for an invalid
//! value.

use super::catalog::RequestCatalog;

/// Number of hex digits of the customer in a target.
const CUSTOMER_DIGITS: usize = 16;
/// Customer numbers are below this bound.
const CUSTOMER_BOUND: u64 = 1 << 33;
/// Maximum length of a decimal number, in characters.
const MAX_DECIMAL_LENGTH: usize = 24;
/// Longest time budget that a client may state, in seconds.
const MAX_TIME_BUDGET: f64 = 3600.0;

/// The fields of the `Quota-Info` header.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuotaInfo {
    pub units: f64,
    pub customer_instances: u32,
    pub first_instance: u32,
}

/// Returns the customer in a target, which is the last segment of the path.
pub(super) fn customer_in_target(target: &str) -> Option<&str> {
    let (path, _) = target.split_once('?').unwrap_or((target, ""));
    if !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return None;
    }
    let (prefix, customer) = path.rsplit_once('/')?;
    let is_hex = customer.len() == CUSTOMER_DIGITS && customer.bytes().all(|byte| byte.is_ascii_hexdigit());
    let in_range = is_hex && u64::from_str_radix(customer, 16).is_ok_and(|number| number < CUSTOMER_BOUND);
    (in_range && prefix.starts_with('/')).then_some(customer)
}

/// Parses a plain decimal number: digits with at most one point, without sign or exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let has_digits = text.len() <= MAX_DECIMAL_LENGTH && text.bytes().any(|byte| byte.is_ascii_digit());
    if is_plain && has_digits { text.parse().ok() } else { None }
}

/// Parses an unsigned integer, which consists of digits only.
fn parse_integer(text: &str) -> Option<u32> {
    if text.bytes().all(|byte| byte.is_ascii_digit()) { text.parse().ok() } else { None }
}

/// Parses a time budget in milliseconds (`480m`) or microseconds (`250000u`), and returns it in seconds.
pub(super) fn parse_time_budget(text: &str) -> Option<f64> {
    let (number, scale) = match text.strip_suffix('m') {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('u')?, 1e-6),
    };
    let seconds = parse_decimal(number)? * scale;
    (seconds > 0.0 && seconds <= MAX_TIME_BUDGET).then_some(seconds)
}

/// Parses the value of the `Quota-Info` header, such as `units=2,spread=3,first=1`. Unknown keys are ignored.
pub(super) fn parse_quota_info(catalog: &RequestCatalog, text: &str) -> Option<QuotaInfo> {
    let (mut units, mut customer_instances, mut first_instance) = (None, None, None);
    for part in text.split(',') {
        let (key, value) = part.trim().split_once('=')?;
        let is_repeated = match key {
            "units" => units.replace(parse_decimal(value)?).is_some(),
            "spread" => customer_instances.replace(parse_integer(value)?).is_some(),
            "first" => first_instance.replace(parse_integer(value)?).is_some(),
            _ => false,
        };
        if is_repeated {
            return None;
        }
    }
    let quota =
        QuotaInfo { units: units?, customer_instances: customer_instances?, first_instance: first_instance? };
    let in_range = quota.units > 0.0
        && quota.units <= catalog.max_units
        && (1..=catalog.instances).contains(&quota.customer_instances)
        && quota.first_instance < catalog.instances;
    in_range.then_some(quota)
}
