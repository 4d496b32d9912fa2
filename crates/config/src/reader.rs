//! Reads tables key by key and collects every problem with its place.

use std::cell::RefCell;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

/// Something wrong in a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Its line, from 1.
    pub line: usize,
    /// Its column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What is meant instead.
    pub hint: Option<String>,
}

/// The text and what was found wrong in it.
pub(crate) struct Problems<'a> {
    source: &'a str,
    found: RefCell<Vec<Problem>>,
}

impl<'a> Problems<'a> {
    pub fn new(source: &'a str) -> Self {
        Self { source, found: RefCell::default() }
    }

    pub fn add(&self, at: usize, message: impl Into<String>, hint: impl Into<Option<String>>) {
        let before = &self.source[..at.min(self.source.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
        self.found.borrow_mut().push(Problem { line, column, message: message.into(), hint: hint.into() });
    }

    pub fn into_inner(self) -> Vec<Problem> {
        let mut found = self.found.into_inner();
        found.sort_by_key(|p| (p.line, p.column));
        found
    }
}

/// A table whose keys are taken one by one; what is left at the end is unknown.
pub(crate) struct Table<'p, 'a> {
    pub problems: &'p Problems<'a>,
    name: String,
    at: usize,
    entries: Vec<(String, Range<usize>, DeValue<'a>, Range<usize>)>,
    known: RefCell<Vec<&'static str>>,
}

/// Reads a file's root table; `read` leaves in it only what it does not know.
pub(crate) fn parse<T>(
    source: &str,
    name: &str,
    read: impl FnOnce(&mut Table<'_, '_>) -> Option<T>,
) -> Result<T, Vec<Problem>> {
    let problems = Problems::new(source);
    let (root, errors) = DeTable::parse_recoverable(source);
    for error in &errors {
        problems.add(error.span().map_or(0, |span| span.start), error.message(), None);
    }
    let mut found = None;
    if errors.is_empty() {
        let mut root = Table::new(&problems, name, 0, root.into_inner());
        found = read(&mut root);
        root.finish();
    }
    let problems = problems.into_inner();
    found.filter(|_| problems.is_empty()).ok_or(problems)
}

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
    pub fn new(problems: &'p Problems<'a>, name: &str, at: usize, table: DeTable<'a>) -> Self {
        let entry = |(key, value): (Spanned<DeString<'a>>, Spanned<DeValue<'a>>)| {
            let (key_at, value_at) = (key.span(), value.span());
            (key.into_inner().to_string(), key_at, value.into_inner(), value_at)
        };
        let entries = table.into_iter().map(entry).collect();
        Self { problems, name: name.to_string(), at, entries, known: RefCell::default() }
    }

    /// Where the table begins.
    pub fn at(&self) -> usize {
        self.at
    }

    fn take(&mut self, key: &'static str) -> Option<(DeValue<'a>, usize)> {
        self.known.borrow_mut().push(key);
        let place = self.entries.iter().position(|(k, ..)| k == key)?;
        let (_, _, value, at) = self.entries.swap_remove(place);
        Some((value, at.start))
    }

    fn wrong(&self, key: &str, at: usize, value: &DeValue<'_>, wanted: &str) {
        let message = format!("`{key}` in {} is {}, where {wanted} is meant", self.name, kind(value));
        self.problems.add(at, message, None);
    }

    pub fn text(&mut self, key: &'static str) -> Option<(String, usize)> {
        match self.take(key)? {
            (DeValue::String(text), at) => Some((text.to_string(), at)),
            (other, at) => {
                self.wrong(key, at, &other, "a text");
                None
            }
        }
    }

    /// A number within bounds.
    pub fn number(&mut self, key: &'static str, default: f64, least: f64, most: f64) -> f64 {
        self.number_at(key, least, most).map_or(default, |(n, _)| n)
    }

    pub fn number_at(&mut self, key: &'static str, least: f64, most: f64) -> Option<(f64, usize)> {
        let (value, at) = self.take(key)?;
        let parsed = match &value {
            DeValue::Float(f) => f.as_str().replace('_', "").parse::<f64>().ok(),
            DeValue::Integer(i) => {
                i64::from_str_radix(&i.as_str().replace('_', ""), i.radix()).ok().map(|n| n as f64)
            }
            _ => None,
        };
        let Some(number) = parsed else {
            self.wrong(key, at, &value, "a number");
            return None;
        };
        if !number.is_finite() || number < least || number > most {
            let hint = format!("it must be from {least} to {most}");
            self.problems.add(at, format!("`{key}` in {} cannot be {number}", self.name), hint);
            return None;
        }
        Some((number, at))
    }

    /// A whole number within bounds.
    pub fn whole(&mut self, key: &'static str, default: u32, least: u32, most: u32) -> u32 {
        let Some((number, at)) = self.number_at(key, f64::from(least), f64::from(most)) else {
            return default;
        };
        if number.fract() != 0.0 {
            self.problems.add(at, format!("`{key}` in {} must be a whole number", self.name), None);
            return default;
        }
        number as u32
    }

    pub fn table(&mut self, key: &'static str) -> Option<Table<'p, 'a>> {
        match self.take(key)? {
            (DeValue::Table(table), at) => Some(Table::new(self.problems, &format!("[{key}]"), at, table)),
            (other, at) => {
                self.wrong(key, at, &other, "a table");
                None
            }
        }
    }

    /// The tables of `[[key]]`.
    pub fn tables(&mut self, key: &'static str) -> Vec<Table<'p, 'a>> {
        match self.take(key) {
            None => Vec::new(),
            Some((DeValue::Array(items), _)) => items
                .into_iter()
                .filter_map(|item| {
                    let at = item.span().start;
                    match item.into_inner() {
                        DeValue::Table(table) => {
                            Some(Table::new(self.problems, &format!("[[{key}]]"), at, table))
                        }
                        other => {
                            self.wrong(key, at, &other, "a table");
                            None
                        }
                    }
                })
                .collect(),
            Some((other, at)) => {
                self.wrong(key, at, &other, "a list of tables");
                Vec::new()
            }
        }
    }

    /// The texts of a list, and where each stands.
    pub fn list(&mut self, key: &'static str) -> Option<Vec<(String, usize)>> {
        let items = match self.take(key)? {
            (DeValue::Array(items), _) => items,
            (other, at) => {
                self.wrong(key, at, &other, "a list of texts");
                return None;
            }
        };
        let text = |item: Spanned<DeValue<'a>>| {
            let at = item.span().start;
            match item.into_inner() {
                DeValue::String(text) => Some((text.to_string(), at)),
                other => {
                    self.wrong(key, at, &other, "a text");
                    None
                }
            }
        };
        Some(items.into_iter().filter_map(text).collect())
    }

    /// All remaining keys with their texts, for tables whose keys are names.
    pub fn texts(&mut self) -> Vec<(String, String, usize)> {
        let entries = std::mem::take(&mut self.entries);
        let mut texts = Vec::new();
        for (key, _, value, at) in entries {
            match value {
                DeValue::String(text) => texts.push((key, text.to_string(), at.start)),
                other => self.wrong(&key, at.start, &other, "a text"),
            }
        }
        texts
    }

    /// A key that must be there.
    pub fn missing(&self, key: &str, hint: &str) {
        self.problems.add(self.at, format!("{} lacks `{key}`", self.name), hint.to_string());
    }

    /// Says what keys nobody asked for.
    pub fn finish(self) {
        for (key, at, ..) in &self.entries {
            let known = self.known.borrow();
            let close = known.iter().map(|k| (strsim::damerau_levenshtein(k, key), k)).min();
            let hint = match close {
                Some((distance, name)) if distance <= 1 + key.len() / 4 => format!("`{name}` is meant?"),
                _ => format!("it knows {}", known.join(", ")),
            };
            self.problems.add(at.start, format!("{} does not know `{key}`", self.name), hint);
        }
    }
}
