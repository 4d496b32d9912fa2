//! Parses a check from Envoy's request attributes, by the rules of the configuration. Does no I/O.

use envoy_types::pb::envoy::config::core::v3::HeaderMap;
use envoy_types::pb::envoy::service::auth::v3::{AttributeContext, attribute_context::HttpRequest};
use std::collections::HashMap;
use weirusher_config::RequestRules;
use weirusher_core::{Check, InstanceRange};

/// Maximum length of a customer name in bytes.
const MAX_CUSTOMER_BYTES: usize = 256;
/// Maximum time budget that a client may state; it bounds how long a request stays in the request table.
const MAX_TIME_BUDGET_SECONDS: f64 = 3600.0;
const MILLIS_PER_SECOND: f64 = 1000.0;
/// The range for a customer whose requests have no instances header: all instances.
const ALL_INSTANCES: InstanceRange = InstanceRange { count: u32::MAX, first: 0 };

/// Why attributes were rejected. The client gets the text in the response, and has to change its request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AttributeError {
    #[error("the check has no HTTP request")]
    NoRequest,
    #[error("header {0} is missing")]
    MissingCustomer(String),
    #[error("header {0} names more than one customer")]
    SeveralCustomers(String),
    #[error("header {0} holds no usable value")]
    InvalidValue(String),
    #[error("the customer has no plan")]
    NoPlan,
}

/// The request's headers, in either of the two forms in which a proxy may send them.
struct Headers<'a> {
    by_name: &'a HashMap<String, String>,
    listed: Option<&'a HeaderMap>,
}

impl<'a> Headers<'a> {
    /// All values of a header.
    fn all(&self, name: &str) -> Vec<&'a str> {
        let listed = self.listed.map(|map| map.headers.as_slice()).unwrap_or_default();
        let values = listed.iter().filter(|h| h.key.eq_ignore_ascii_case(name)).map(|h| {
            match h.raw_value.as_slice() {
                [] => h.value.as_str(),
                bytes => std::str::from_utf8(bytes).unwrap_or("\u{0}"), // Rejected later as invalid.
            }
        });
        self.by_name.get(name).map(String::as_str).into_iter().chain(values).collect()
    }

    /// The value of a header that may occur at most once.
    fn one(&self, name: &str) -> Result<Option<&'a str>, AttributeError> {
        match self.all(name)[..] {
            [] => Ok(None),
            [value] => Ok(Some(value)),
            _ => Err(AttributeError::InvalidValue(name.to_string())),
        }
    }

    /// The number in a header, which must be from `min` to `max`.
    fn number(&self, name: &str, min: f64, max: f64) -> Result<Option<f64>, AttributeError> {
        let Some(text) = self.one(name)? else { return Ok(None) };
        let number = text.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= min && *n <= max);
        number.map(Some).ok_or_else(|| AttributeError::InvalidValue(name.to_string()))
    }
}

/// Parses a check.
///
/// # Errors
/// The attributes lack something that a check needs, or a header has an invalid value.
pub fn parse_check(
    rules: &RequestRules,
    attributes: Option<&AttributeContext>,
) -> Result<Check, AttributeError> {
    let http = attributes.and_then(|a| a.request.as_ref()?.http.as_ref()).ok_or(AttributeError::NoRequest)?;
    let headers = Headers { by_name: &http.headers, listed: http.header_map.as_ref() };
    let customer = customer(rules, &headers)?;
    let class = class(rules, http);
    let plan = rules.plans.get(customer).copied().or(rules.default_plan).ok_or(AttributeError::NoPlan)?;
    let units = match &rules.units.header {
        Some(name) => headers.number(name, 0.0, rules.max_units)?,
        None => None,
    };
    let time_budget = match &rules.time_budget_header {
        Some(name) => headers.number(name, 0.0, MAX_TIME_BUDGET_SECONDS * MILLIS_PER_SECOND)?,
        None => None,
    };
    let instances = match &rules.instances_header {
        Some(name) => headers.one(name)?.map(|text| instance_range(name, text)).transpose()?,
        None => None,
    };
    Ok(Check {
        customer: customer.into(),
        plan,
        class,
        units: units.unwrap_or(rules.units.default),
        time_budget: time_budget.map_or(rules.class_time_budgets[class], |millis| millis / MILLIS_PER_SECOND),
        instances: instances.unwrap_or(ALL_INSTANCES),
        ticket: headers.one(&rules.ticket_header)?.map(String::from),
    })
}

fn customer<'a>(rules: &RequestRules, headers: &Headers<'a>) -> Result<&'a str, AttributeError> {
    let name = &rules.customer_header;
    let customer = match headers.all(name)[..] {
        [] => return Err(AttributeError::MissingCustomer(name.clone())),
        [customer] => customer,
        _ => return Err(AttributeError::SeveralCustomers(name.clone())),
    };
    if customer.contains(',') {
        // Proxies join repeated headers with a comma, so it is unclear which customer's quota applies.
        return Err(AttributeError::SeveralCustomers(name.clone()));
    }
    let valid = !customer.trim().is_empty() && customer.len() <= MAX_CUSTOMER_BYTES;
    if !valid || customer.contains(char::is_control) {
        return Err(AttributeError::InvalidValue(name.clone()));
    }
    Ok(customer)
}

fn class(rules: &RequestRules, http: &HttpRequest) -> usize {
    rules.routes.iter().find(|route| http.path.starts_with(&route.prefix)).map_or(0, |route| route.class)
}

/// Parses `count/first`: the number of instances that serve the customer, and the index of the first one.
fn instance_range(name: &str, text: &str) -> Result<InstanceRange, AttributeError> {
    let parsed = text.split_once('/').and_then(|(count, first)| {
        Some(InstanceRange { count: count.parse().ok()?, first: first.parse().ok()? })
    });
    parsed
        .filter(|instances| instances.count > 0)
        .ok_or_else(|| AttributeError::InvalidValue(name.to_string()))
}

#[cfg(test)]
mod tests;
