//! Reads TOML tables key by key, and collects every problem with its place.

use crate::problem::{ConfigError, ProblemCollector};
use std::cell::RefCell;
use std::ops::RangeInclusive;
use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

/// A value, and the byte offset in the source at which it stands.
#[derive(Debug, Clone)]
pub(crate) struct Located<T> {
    pub value: T,
    pub offset: usize,
}

/// A key with its value, that nobody has read yet.
struct Entry<'a> {
    key: Located<String>,
    value: Located<DeValue<'a>>,
}

/// A table whose keys are read one by one. Those that are left at the end are unknown.
pub(crate) struct Table<'p, 'a> {
    pub problems: &'p ProblemCollector<'a>,
    name: String,
    /// The byte offset at which the table begins.
    offset: usize,
    entries: Vec<Entry<'a>>,
    known_keys: RefCell<Vec<&'static str>>,
}

/// Reads a file's root table with `read`, which takes all keys that it knows. `name` stands for the table in messages.
pub(crate) fn parse<T>(
    source: &str,
    name: &str,
    read: impl FnOnce(&mut Table<'_, '_>) -> Option<T>,
) -> Result<T, ConfigError> {
    let problems = ProblemCollector::new(source);
    let (root, errors) = DeTable::parse_recoverable(source);
    for error in &errors {
        problems.add(error.span().map_or(0, |span| span.start), error.message(), None);
    }
    let mut value = None;
    if errors.is_empty() {
        let mut root = Table::new(&problems, name, 0, root.into_inner());
        value = read(&mut root);
        root.finish();
    }
    let error = problems.into_error();
    value.filter(|_| error.problems().is_empty()).ok_or(error)
}

/// What a value is, as messages name it.
fn kind(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

impl<'p, 'a> Table<'p, 'a> {
    fn new(problems: &'p ProblemCollector<'a>, name: &str, offset: usize, table: DeTable<'a>) -> Self {
        let entry = |(key, value): (Spanned<DeString<'a>>, Spanned<DeValue<'a>>)| {
            let (key_offset, value_offset) = (key.span().start, value.span().start);
            Entry {
                key: Located { value: key.into_inner().to_string(), offset: key_offset },
                value: Located { value: value.into_inner(), offset: value_offset },
            }
        };
        let entries = table.into_iter().map(entry).collect();
        Self { problems, name: name.to_string(), offset, entries, known_keys: RefCell::default() }
    }

    /// Adds a problem at the table's beginning.
    pub fn add_problem(&self, message: impl Into<String>, hint: impl Into<Option<String>>) {
        self.problems.add(self.offset, message, hint);
    }

    fn take(&mut self, key: &'static str) -> Option<Located<DeValue<'a>>> {
        self.known_keys.borrow_mut().push(key);
        let place = self.entries.iter().position(|entry| entry.key.value == key)?;
        Some(self.entries.swap_remove(place).value)
    }

    fn wrong_kind(&self, key: &str, offset: usize, value: &DeValue<'_>, expected: &str) {
        let message = format!("`{key}` in {} is {}, where {expected} is meant", self.name, kind(value));
        self.problems.add(offset, message, None);
    }

    /// A text.
    pub fn text(&mut self, key: &'static str) -> Option<Located<String>> {
        let Located { value, offset } = self.take(key)?;
        match value {
            DeValue::String(text) => Some(Located { value: text.to_string(), offset }),
            other => {
                self.wrong_kind(key, offset, &other, "a text");
                None
            }
        }
    }

    /// A number within bounds, or the default.
    pub fn number(&mut self, key: &'static str, default: f64, bounds: RangeInclusive<f64>) -> f64 {
        self.optional_number(key, bounds).map_or(default, |number| number.value)
    }

    /// A number within bounds.
    pub fn optional_number(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<f64>,
    ) -> Option<Located<f64>> {
        let Located { value, offset } = self.take(key)?;
        let parsed = match &value {
            DeValue::Float(float) => float.as_str().replace('_', "").parse::<f64>().ok(),
            DeValue::Integer(integer) => {
                let digits = integer.as_str().replace('_', "");
                i64::from_str_radix(&digits, integer.radix()).ok().map(|number| number as f64)
            }
            _ => None,
        };
        let Some(number) = parsed else {
            self.wrong_kind(key, offset, &value, "a number");
            return None;
        };
        if !number.is_finite() || !bounds.contains(&number) {
            let hint = format!("it must be from {} to {}", bounds.start(), bounds.end());
            self.problems.add(offset, format!("`{key}` in {} cannot be {number}", self.name), hint);
            return None;
        }
        Some(Located { value: number, offset })
    }

    /// A whole number within bounds, or the default.
    pub fn whole(&mut self, key: &'static str, default: u32, bounds: RangeInclusive<u32>) -> u32 {
        let bounds = f64::from(*bounds.start())..=f64::from(*bounds.end());
        let Some(Located { value: number, offset }) = self.optional_number(key, bounds) else {
            return default;
        };
        if number.fract() != 0.0 {
            self.problems.add(offset, format!("`{key}` in {} must be a whole number", self.name), None);
            return default;
        }
        number as u32
    }

    /// The table `[key]`.
    pub fn table(&mut self, key: &'static str) -> Option<Table<'p, 'a>> {
        let Located { value, offset } = self.take(key)?;
        match value {
            DeValue::Table(table) => Some(Table::new(self.problems, &format!("[{key}]"), offset, table)),
            other => {
                self.wrong_kind(key, offset, &other, "a table");
                None
            }
        }
    }

    /// The tables of `[[key]]`.
    pub fn tables(&mut self, key: &'static str) -> Vec<Table<'p, 'a>> {
        let Some(Located { value, offset }) = self.take(key) else { return Vec::new() };
        let DeValue::Array(items) = value else {
            self.wrong_kind(key, offset, &value, "a list of tables");
            return Vec::new();
        };
        let table = |item: Spanned<DeValue<'a>>| {
            let offset = item.span().start;
            match item.into_inner() {
                DeValue::Table(table) => {
                    Some(Table::new(self.problems, &format!("[[{key}]]"), offset, table))
                }
                other => {
                    self.wrong_kind(key, offset, &other, "a table");
                    None
                }
            }
        };
        items.into_iter().filter_map(table).collect()
    }

    /// The texts of a list.
    pub fn texts(&mut self, key: &'static str) -> Option<Vec<Located<String>>> {
        let Located { value, offset } = self.take(key)?;
        let DeValue::Array(items) = value else {
            self.wrong_kind(key, offset, &value, "a list of texts");
            return None;
        };
        let text = |item: Spanned<DeValue<'a>>| {
            let offset = item.span().start;
            match item.into_inner() {
                DeValue::String(text) => Some(Located { value: text.to_string(), offset }),
                other => {
                    self.wrong_kind(key, offset, &other, "a text");
                    None
                }
            }
        };
        Some(items.into_iter().filter_map(text).collect())
    }

    /// All remaining keys with their texts, for tables whose keys are names.
    pub fn remaining_texts(&mut self) -> Vec<(String, Located<String>)> {
        let mut texts = Vec::new();
        for Entry { key, value } in std::mem::take(&mut self.entries) {
            match value.value {
                DeValue::String(text) => {
                    texts.push((key.value, Located { value: text.to_string(), offset: value.offset }));
                }
                other => self.wrong_kind(&key.value, value.offset, &other, "a text"),
            }
        }
        texts
    }

    /// Reports that a required key is missing.
    pub fn missing(&self, key: &str, hint: &str) {
        self.add_problem(format!("{} lacks `{key}`", self.name), hint.to_string());
    }

    /// Reports the keys that are left as unknown.
    pub fn finish(self) {
        for Entry { key, .. } in &self.entries {
            let known = self.known_keys.borrow();
            let name = &key.value;
            let closest = known.iter().map(|known| (strsim::damerau_levenshtein(known, name), known)).min();
            let hint = match closest {
                Some((distance, known)) if distance <= 1 + name.len() / 4 => format!("`{known}` is meant?"),
                _ => format!("it knows {}", known.join(", ")),
            };
            self.problems.add(key.offset, format!("{} does not know `{name}`", self.name), hint);
        }
    }
}
