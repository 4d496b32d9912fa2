//! The classes and plans that requests may name, and the bounds of the values in their headers.

use std::collections::HashMap;
use weirusher::{Idempotency, PlatformSettings};

/// A class that requests may name.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassEntry {
    /// Index of the class in the settings.
    pub index: usize,
    /// Whether its requests may be executed any number of times.
    pub is_idempotent: bool,
}

/// The names and numbers that a request may state, according to the settings.
#[derive(Debug, Clone)]
pub struct RequestCatalog {
    classes: HashMap<String, ClassEntry>,
    /// Indexes of the plans by name.
    plans: HashMap<String, usize>,
    /// Number of gateway instances.
    pub(super) instances: u32,
    /// Maximum units of one request.
    pub(super) max_units: f64,
}

impl RequestCatalog {
    /// Creates the catalog for these settings.
    pub fn new(platform: &PlatformSettings) -> Self {
        let is_idempotent =
            |index: usize| platform.settings.classes[index].idempotency == Idempotency::Idempotent;
        let class = |(index, name): (usize, &String)| {
            (name.clone(), ClassEntry { index, is_idempotent: is_idempotent(index) })
        };
        Self {
            classes: platform.classes.iter().enumerate().map(class).collect(),
            plans: platform.plans.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect(),
            instances: platform.settings.instances,
            max_units: platform.settings.max_request_units.max(1.0),
        }
    }

    pub(super) fn class(&self, name: &str) -> Option<ClassEntry> {
        self.classes.get(name).copied()
    }

    pub(super) fn plan(&self, name: &str) -> Option<usize> {
        self.plans.get(name).copied()
    }
}
