//! External authorisation gateways on loopback, tested end to end with a fake load generator, counter, discovery and
//! backends. The captured traffic is audited.

mod audit_rules;
mod external_authorisation;
mod malformed_input;
mod site;
