//! The budgets of the memory that peers fill.

use crate::budget::ResourceBudget;
use std::fmt;
use weirusher_buffers::ByteBudget;

/// A budget for each kind of peer, so that none can use up the memory of another.
#[derive(Clone)]
pub struct MemoryBudgets {
    /// Heads and bodies of requests, from their bytes' arrival until the request is answered, and bytes that are read
    /// ahead.
    pub requests: ByteBudget,
    /// Responses of backends, from their bytes' arrival until they are written to the client.
    pub responses: ByteBudget,
    /// Responses of discovery, until they are parsed, and of the counter.
    pub services: ByteBudget,
}

impl MemoryBudgets {
    /// Creates the budgets.
    pub fn new(budget: &ResourceBudget) -> Self {
        Self {
            requests: ByteBudget::new(budget.message_bytes),
            responses: ByteBudget::new(budget.message_bytes),
            services: ByteBudget::new(budget.list_bytes),
        }
    }
}

impl fmt::Debug for MemoryBudgets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryBudgets")
            .field("requests", &self.requests.usage())
            .field("responses", &self.responses.usage())
            .field("services", &self.services.usage())
            .finish()
    }
}
