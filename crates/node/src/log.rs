//! Logging of the steps of requests and connections.

/// Logs a step at level `debug`. During a shutdown the level is `info`, because the process cannot be
/// inspected afterwards.
macro_rules! log_step {
    ($node:expr, $($line:tt)+) => {
        if $node.is_shutting_down() {
            tracing::info!($($line)+);
        } else {
            tracing::debug!($($line)+);
        }
    };
}
pub(crate) use log_step;
