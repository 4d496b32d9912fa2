//! How a Check's attributes become a request, by the configuration's rules. No I/O.

use envoy_types::pb::envoy::config::core::v3::HeaderMap;
use envoy_types::pb::envoy::service::auth::v3::{AttributeContext, attribute_context::HttpRequest};
use std::collections::HashMap;
use weirusher_config::RequestRules;
use weirusher_core::{Check, InstanceRange};

/// Longest customer name, in bytes.
const LONGEST_CUSTOMER: usize = 256;
/// Longest patience that is believed, in seconds: it bounds how long the ledger keeps a request.
const LONGEST_PATIENCE: f64 = 3600.0;

/// Why a Check makes no request; the client can do nothing but ask differently.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadCheck {
    #[error("the check has no HTTP request")]
    NoRequest,
    #[error("header {0} is missing")]
    NoCustomer(String),
    #[error("header {0} names more than one customer")]
    TwoCustomers(String),
    #[error("header {0} holds no usable value")]
    BadValue(String),
    #[error("the customer has no plan")]
    NoPlan,
}

/// Headers in either of the two forms that a proxy may send them in.
struct Headers<'a>(&'a HashMap<String, String>, Option<&'a HeaderMap>);

impl<'a> Headers<'a> {
    fn all(&self, name: &str) -> Vec<&'a str> {
        let raw = self.1.map(|map| map.headers.as_slice()).unwrap_or_default();
        let listed =
            raw.iter().filter(|h| h.key.eq_ignore_ascii_case(name)).map(|h| match h.raw_value.as_slice() {
                [] => h.value.as_str(),
                bytes => std::str::from_utf8(bytes).unwrap_or("\u{0}"), // No value passes with it.
            });
        self.0.get(name).map(String::as_str).into_iter().chain(listed).collect()
    }

    fn one(&self, name: &str) -> Result<Option<&'a str>, BadCheck> {
        match self.all(name)[..] {
            [] => Ok(None),
            [value] => Ok(Some(value)),
            _ => Err(BadCheck::BadValue(name.to_string())),
        }
    }

    fn number(&self, name: &str, least: f64, most: f64) -> Result<Option<f64>, BadCheck> {
        let Some(text) = self.one(name)? else { return Ok(None) };
        let number = text.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= least && *n <= most);
        number.map(Some).ok_or_else(|| BadCheck::BadValue(name.to_string()))
    }
}

/// Reads a Check.
pub fn admit(rules: &RequestRules, attributes: Option<&AttributeContext>) -> Result<Check, BadCheck> {
    let http = attributes.and_then(|a| a.request.as_ref()?.http.as_ref()).ok_or(BadCheck::NoRequest)?;
    let headers = Headers(&http.headers, http.header_map.as_ref());
    let customer = customer(rules, &headers)?;
    let class = class(rules, http);
    let plan = rules.plans.get(customer).copied().or(rules.default_plan).ok_or(BadCheck::NoPlan)?;
    let units = match &rules.units.header {
        Some(name) => headers.number(name, 0.0, rules.max_units)?,
        None => None,
    };
    let patience = match &rules.time_budget_header {
        Some(name) => headers.number(name, 0.0, LONGEST_PATIENCE * 1000.0)?.map(|millis| millis / 1000.0),
        None => None,
    };
    let spread = match &rules.instances_header {
        Some(name) => headers.one(name)?.map(|text| spread(name, text)).transpose()?,
        None => None,
    };
    Ok(Check {
        customer: customer.into(),
        plan,
        class,
        units: units.unwrap_or(rules.units.default),
        time_budget: patience.unwrap_or(rules.class_time_budgets[class]),
        instances: spread.unwrap_or(InstanceRange { count: u32::MAX, first: 0 }),
        ticket: headers.one(&rules.ticket_header)?.map(String::from),
    })
}

fn customer<'a>(rules: &RequestRules, headers: &Headers<'a>) -> Result<&'a str, BadCheck> {
    let name = &rules.customer_header;
    let customer = match headers.all(name)[..] {
        [] => return Err(BadCheck::NoCustomer(name.clone())),
        [customer] => customer,
        _ => return Err(BadCheck::TwoCustomers(name.clone())),
    };
    if customer.contains(',') {
        // A proxy joins a header that came twice with a comma: whose quota would it be?
        return Err(BadCheck::TwoCustomers(name.clone()));
    }
    let usable = !customer.trim().is_empty() && customer.len() <= LONGEST_CUSTOMER;
    if !usable || customer.contains(char::is_control) {
        return Err(BadCheck::BadValue(name.clone()));
    }
    Ok(customer)
}

fn class(rules: &RequestRules, http: &HttpRequest) -> usize {
    rules.routes.iter().find(|route| http.path.starts_with(&route.prefix)).map_or(0, |route| route.class)
}

/// `count/first`: how many gateways carry the customer, and the number of the first of them.
fn spread(name: &str, text: &str) -> Result<InstanceRange, BadCheck> {
    let parsed = text.split_once('/').and_then(|(count, first)| {
        Some(InstanceRange { count: count.parse().ok()?, first: first.parse().ok()? })
    });
    parsed.filter(|range| range.count > 0).ok_or_else(|| BadCheck::BadValue(name.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use envoy_types::pb::envoy::config::core::v3::HeaderValue;
    use envoy_types::pb::envoy::service::auth::v3::attribute_context::Request;

    fn rules() -> RequestRules {
        let text = include_str!("../../../deploy/gatekeeper.toml");
        weirusher_config::Config::parse(text).expect("the shipped configuration passes").request_rules
    }

    fn context(headers: &[(&str, &str)]) -> AttributeContext {
        let headers = headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
        let http = HttpRequest { path: "/check".into(), headers, ..HttpRequest::default() };
        AttributeContext {
            request: Some(Request { http: Some(http), time: None }),
            ..AttributeContext::default()
        }
    }

    #[test]
    fn a_check_needs_one_customer() {
        let admitted = |headers: &[(&str, &str)]| admit(&rules(), Some(&context(headers)));
        assert_eq!(admitted(&[("x-customer", "school-1")]).unwrap().customer.as_ref(), "school-1");
        assert_eq!(admitted(&[]), Err(BadCheck::NoCustomer("x-customer".into())));
        assert_eq!(admitted(&[("x-customer", "a,b")]), Err(BadCheck::TwoCustomers("x-customer".into())));
        for bad in ["", " ", "a\nb", &"x".repeat(LONGEST_CUSTOMER + 1)] {
            assert_eq!(admitted(&[("x-customer", bad)]), Err(BadCheck::BadValue("x-customer".into())));
        }
        assert_eq!(admit(&rules(), None), Err(BadCheck::NoRequest));
    }

    #[test]
    fn a_header_map_counts_like_headers_and_twice_is_twice() {
        let mut context = context(&[]);
        let value =
            |v: &str| HeaderValue { key: "X-Customer".into(), value: v.into(), raw_value: Vec::new() };
        let http = context.request.as_mut().unwrap().http.as_mut().unwrap();
        http.header_map = Some(HeaderMap { headers: vec![value("a")] });
        assert_eq!(admit(&rules(), Some(&context)).unwrap().customer.as_ref(), "a");
        let http = context.request.as_mut().unwrap().http.as_mut().unwrap();
        http.header_map = Some(HeaderMap { headers: vec![value("a"), value("b")] });
        assert!(matches!(admit(&rules(), Some(&context)), Err(BadCheck::TwoCustomers(_))));
    }

    #[test]
    fn numbers_out_of_bounds_are_refused() {
        let admitted = |n, v| admit(&rules(), Some(&context(&[("x-customer", "a"), (n, v)])));
        for bad in ["-1", "nan", "1e300", "x", "inf"] {
            assert!(admitted("x-envoy-expected-rq-timeout-ms", bad).is_err(), "{bad}");
            assert!(admitted("x-units", bad).is_err(), "{bad}");
        }
        assert_eq!(admitted("x-envoy-expected-rq-timeout-ms", "1500").unwrap().time_budget, 1.5);
        assert_eq!(admitted("x-units", "2").unwrap().units, 2.0);
    }
}
