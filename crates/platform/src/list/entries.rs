//! The entries of an endpoint list as text, before they are parsed.

use super::MAX_ENTRIES;
use serde::de::{Deserialize, Deserializer, IgnoredAny, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::fmt;

/// The texts of the entries, in order.
#[derive(Debug)]
pub(super) struct Entries<'a> {
    pub(super) texts: Vec<&'a RawValue>,
    /// Whether there are further entries, which were skipped.
    pub(super) too_many: bool,
}

impl<'de: 'a, 'a> Deserialize<'de> for Entries<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EntriesVisitor)
    }
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Entries<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Self::Value, A::Error> {
        let mut texts = Vec::new();
        while texts.len() < MAX_ENTRIES {
            let Some(text) = entries.next_element()? else { return Ok(Entries { texts, too_many: false }) };
            texts.push(text);
        }
        let mut too_many = false;
        while entries.next_element::<IgnoredAny>()?.is_some() {
            too_many = true;
        }
        Ok(Entries { texts, too_many })
    }
}
