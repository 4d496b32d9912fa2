//! A violation that the oracle found.

use std::fmt;

/// Something that broke a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The name of the rule.
    pub rule: &'static str,
    /// What was observed.
    pub observation: String,
}

impl Finding {
    /// A violation of `rule`.
    pub(super) fn new(rule: &'static str, observation: String) -> Self {
        Self { rule, observation }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.observation)
    }
}
