//! Reads TOML tables key by key, and collects all problems with their positions.

use crate::problem::{ConfigError, ProblemCollector};
use std::cell::RefCell;
use std::ops::RangeInclusive;
use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

/// A value with its byte offset in the source.
#[derive(Debug, Clone)]
pub(crate) struct Located<T> {
    pub value: T,
    pub offset: usize,
}

/// A key and its value, which have not been read yet.
struct Entry<'a> {
    key: Located<String>,
    value: Located<DeValue<'a>>,
}

/// A table whose keys are read one by one. [`Table::finish`] reports the remaining keys as unknown.
pub(crate) struct Table<'p, 'a> {
    pub problems: &'p ProblemCollector<'a>,
    name: String,
    /// The byte offset of the table.
    offset: usize,
    entries: Vec<Entry<'a>>,
    /// The keys that have been asked for.
    known_keys: RefCell<Vec<&'static str>>,
}

/// Parses a file, and reads its root table with `read`. Keys that `read` does not take are reported as
/// unknown. Messages call the root table `name`.
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

/// The type of a value, as messages name it.
fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
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

    /// Adds a problem at the position of the table.
    pub fn add_problem(&self, message: impl Into<String>, hint: impl Into<Option<String>>) {
        self.problems.add(self.offset, message, hint);
    }

    /// Removes a key and returns its value, and marks the key as known.
    fn take(&mut self, key: &'static str) -> Option<Located<DeValue<'a>>> {
        self.known_keys.borrow_mut().push(key);
        let index = self.entries.iter().position(|entry| entry.key.value == key)?;
        Some(self.entries.swap_remove(index).value)
    }

    fn report_wrong_type(&self, key: &str, offset: usize, value: &DeValue<'_>, expected: &str) {
        let message = format!("`{key}` in {} is {}, expected {expected}", self.name, type_name(value));
        self.problems.add(offset, message, None);
    }

    /// Reads a string.
    pub fn string(&mut self, key: &'static str) -> Option<Located<String>> {
        let Located { value, offset } = self.take(key)?;
        match value {
            DeValue::String(text) => Some(Located { value: text.to_string(), offset }),
            other => {
                self.report_wrong_type(key, offset, &other, "a string");
                None
            }
        }
    }

    /// Reads a number within bounds. Returns the default if it is missing or invalid, and reports an invalid
    /// one.
    pub fn number(&mut self, key: &'static str, default: f64, bounds: RangeInclusive<f64>) -> f64 {
        self.optional_number(key, bounds).map_or(default, |number| number.value)
    }

    /// Reads a number within bounds. Returns `None` if it is missing or invalid, and reports an invalid one.
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
            self.report_wrong_type(key, offset, &value, "a number");
            return None;
        };
        if !number.is_finite() || !bounds.contains(&number) {
            let hint = format!("it must be from {} to {}", bounds.start(), bounds.end());
            self.problems.add(offset, format!("`{key}` in {} cannot be {number}", self.name), hint);
            return None;
        }
        Some(Located { value: number, offset })
    }

    /// Reads a whole number within bounds. Returns the default if it is missing or invalid, and reports an
    /// invalid one.
    pub fn whole_number(&mut self, key: &'static str, default: u32, bounds: RangeInclusive<u32>) -> u32 {
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

    /// Reads the table `[key]`.
    pub fn table(&mut self, key: &'static str) -> Option<Table<'p, 'a>> {
        let Located { value, offset } = self.take(key)?;
        match value {
            DeValue::Table(table) => Some(Table::new(self.problems, &format!("[{key}]"), offset, table)),
            other => {
                self.report_wrong_type(key, offset, &other, "a table");
                None
            }
        }
    }

    /// Reads the array of tables `[[key]]`.
    pub fn tables(&mut self, key: &'static str) -> Vec<Table<'p, 'a>> {
        let Some(Located { value, offset }) = self.take(key) else { return Vec::new() };
        let DeValue::Array(items) = value else {
            self.report_wrong_type(key, offset, &value, "an array of tables");
            return Vec::new();
        };
        let table = |item: Spanned<DeValue<'a>>| {
            let offset = item.span().start;
            match item.into_inner() {
                DeValue::Table(table) => {
                    Some(Table::new(self.problems, &format!("[[{key}]]"), offset, table))
                }
                other => {
                    self.report_wrong_type(key, offset, &other, "a table");
                    None
                }
            }
        };
        items.into_iter().filter_map(table).collect()
    }

    /// Reads an array of strings.
    pub fn strings(&mut self, key: &'static str) -> Option<Vec<Located<String>>> {
        let Located { value, offset } = self.take(key)?;
        let DeValue::Array(items) = value else {
            self.report_wrong_type(key, offset, &value, "an array of strings");
            return None;
        };
        let text = |item: Spanned<DeValue<'a>>| {
            let offset = item.span().start;
            match item.into_inner() {
                DeValue::String(text) => Some(Located { value: text.to_string(), offset }),
                other => {
                    self.report_wrong_type(key, offset, &other, "a string");
                    None
                }
            }
        };
        Some(items.into_iter().filter_map(text).collect())
    }

    /// Reads all remaining keys, which must be strings, for tables whose keys are not fixed.
    pub fn remaining_strings(&mut self) -> Vec<(String, Located<String>)> {
        let mut strings = Vec::new();
        for Entry { key, value } in std::mem::take(&mut self.entries) {
            match value.value {
                DeValue::String(text) => {
                    strings.push((key.value, Located { value: text.to_string(), offset: value.offset }));
                }
                other => self.report_wrong_type(&key.value, value.offset, &other, "a string"),
            }
        }
        strings
    }

    /// Reports that a required key is missing.
    pub fn report_missing(&self, key: &str, hint: &str) {
        self.add_problem(format!("`{key}` is missing in {}", self.name), hint.to_string());
    }

    /// Reports all keys that have not been read as unknown.
    pub fn finish(self) {
        for Entry { key, .. } in &self.entries {
            let known = self.known_keys.borrow();
            let name = &key.value;
            let closest = known.iter().map(|known| (strsim::damerau_levenshtein(known, name), known)).min();
            let hint = match closest {
                Some((distance, known)) if distance <= 1 + name.len() / 4 => {
                    format!("did you mean `{known}`?")
                }
                _ => format!("known keys: {}", known.join(", ")),
            };
            self.problems.add(key.offset, format!("unknown key `{name}` in {}", self.name), hint);
        }
    }
}
