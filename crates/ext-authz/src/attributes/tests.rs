//! Valid checks, and attributes that are rejected.

use super::*;
use envoy_types::pb::envoy::config::core::v3::HeaderValue;
use envoy_types::pb::envoy::service::auth::v3::attribute_context::Request;

fn rules() -> RequestRules {
    let text = include_str!("../../../../deploy/gatekeeper.toml");
    weirusher_config::Config::parse(text).expect("the shipped configuration is valid").request_rules
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
fn a_check_needs_exactly_one_customer() {
    let parsed = |headers: &[(&str, &str)]| parse_check(&rules(), Some(&context(headers)));
    let customer = || "x-customer".to_string();
    assert_eq!(parsed(&[("x-customer", "school-1")]).unwrap().customer.as_ref(), "school-1");
    assert_eq!(parsed(&[]), Err(AttributeError::MissingCustomer(customer())));
    assert_eq!(parsed(&[("x-customer", "a,b")]), Err(AttributeError::SeveralCustomers(customer())));
    for bad in ["", " ", "a\nb", &"x".repeat(MAX_CUSTOMER_BYTES + 1)] {
        assert_eq!(parsed(&[("x-customer", bad)]), Err(AttributeError::InvalidValue(customer())));
    }
    assert_eq!(parse_check(&rules(), None), Err(AttributeError::NoRequest));
}

/// A proxy may send headers as a `HeaderMap`, which can repeat a header.
#[test]
fn a_header_map_is_read_and_a_repeated_customer_rejected() {
    let mut context = context(&[]);
    let value = |v: &str| HeaderValue { key: "X-Customer".into(), value: v.into(), raw_value: Vec::new() };
    let http = context.request.as_mut().unwrap().http.as_mut().unwrap();
    http.header_map = Some(HeaderMap { headers: vec![value("a")] });
    assert_eq!(parse_check(&rules(), Some(&context)).unwrap().customer.as_ref(), "a");
    let http = context.request.as_mut().unwrap().http.as_mut().unwrap();
    http.header_map = Some(HeaderMap { headers: vec![value("a"), value("b")] });
    assert!(matches!(parse_check(&rules(), Some(&context)), Err(AttributeError::SeveralCustomers(_))));
}

#[test]
fn numbers_out_of_bounds_are_rejected() {
    let parsed = |n, v| parse_check(&rules(), Some(&context(&[("x-customer", "a"), (n, v)])));
    for bad in ["-1", "nan", "1e300", "x", "inf"] {
        assert!(parsed("x-envoy-expected-rq-timeout-ms", bad).is_err(), "{bad}");
        assert!(parsed("x-units", bad).is_err(), "{bad}");
    }
    assert_eq!(parsed("x-envoy-expected-rq-timeout-ms", "1500").unwrap().time_budget, 1.5);
    assert_eq!(parsed("x-units", "2").unwrap().units, 2.0);
}
