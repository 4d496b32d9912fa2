//! A violation of a rule that the oracle found.

use std::fmt;

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The name of the violated rule.
    pub rule: &'static str,
    /// What was observed, as text.
    pub observation: String,
}

impl Finding {
    /// Creates a finding for `rule`.
    pub(super) fn new(rule: &'static str, observation: String) -> Self {
        Self { rule, observation }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.observation)
    }
}
