//! Gateways for external authorisation on loopback, between fakes; judged from the sockets.

mod audit_rules;
mod external_authorisation;
mod malformed_input;
mod site;
