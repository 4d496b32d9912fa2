//! Encodes actions of the policy as wire messages.

use serde_json::{Value, json};
use weirusher::Action;

/// Returns the wire message of an action.
pub fn message(action: Action) -> Value {
    match action {
        Action::Forward { request, backend, timeout, .. } => {
            json!(["PLACE", &*request, timeout, &*backend])
        }
        Action::Reject { request, retry_after, .. } => json!(["PUSH_BACK", &*request, retry_after]),
        Action::Fail { request, .. } => json!(["SURRENDER", &*request]),
        Action::SetTimer { token, at } => json!(["DEFER", token, at]),
        Action::AddToCounter { counter, amount, ttl } => json!(["INCR", counter, amount, ttl]),
        Action::WatchEndpoints => json!(["SUBSCRIBE", true]),
        other => json!(["PANIC", format!("no wire form for {other:?}")]),
    }
}
