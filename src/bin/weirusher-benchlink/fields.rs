//! Access to the fields of a message by position. The wire names of fields are used in errors only.

use crate::error::MessageError;
use serde_json::Value;

/// The fields of one message.
pub struct Fields<'a> {
    message: &'static str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub fn new(message: &'static str, values: &'a [Value]) -> Self {
        Self { message, values }
    }

    /// Returns the fields of a row within a message.
    pub fn of_row(message: &'static str, field: &'static str, row: &'a Value) -> Result<Self, MessageError> {
        let values = row.as_array();
        let values =
            values.ok_or(MessageError::WrongType { message, field, expected: "an array of rows" })?;
        Ok(Self { message, values })
    }

    /// Returns a value of any type, or `None` if it is missing or null.
    pub fn optional(&self, position: usize) -> Option<&'a Value> {
        self.values.get(position).filter(|value| !value.is_null())
    }

    /// Returns a value of any type.
    pub fn value(&self, position: usize, field: &'static str) -> Result<&'a Value, MessageError> {
        self.optional(position).ok_or(MessageError::Missing { message: self.message, field })
    }

    pub fn number(&self, position: usize, field: &'static str) -> Result<f64, MessageError> {
        self.value(position, field)?.as_f64().ok_or_else(|| self.wrong_type(field, "a number"))
    }

    pub fn number_or(&self, position: usize, field: &'static str, default: f64) -> Result<f64, MessageError> {
        if self.optional(position).is_none() { Ok(default) } else { self.number(position, field) }
    }

    pub fn whole_number(&self, position: usize, field: &'static str) -> Result<u64, MessageError> {
        self.value(position, field)?.as_u64().ok_or_else(|| self.wrong_type(field, "a whole number"))
    }

    pub fn text(&self, position: usize, field: &'static str) -> Result<&'a str, MessageError> {
        self.value(position, field)?.as_str().ok_or_else(|| self.wrong_type(field, "a string"))
    }

    pub fn boolean(&self, position: usize, field: &'static str) -> Result<bool, MessageError> {
        self.value(position, field)?.as_bool().ok_or_else(|| self.wrong_type(field, "a boolean"))
    }

    pub fn array(&self, position: usize, field: &'static str) -> Result<&'a [Value], MessageError> {
        let array = self.value(position, field)?.as_array();
        array.map(Vec::as_slice).ok_or_else(|| self.wrong_type(field, "an array"))
    }

    /// Returns the error for a value that is none of the known ones.
    pub fn unknown(&self, field: &'static str) -> MessageError {
        MessageError::UnknownValue { message: self.message, field }
    }

    fn wrong_type(&self, field: &'static str, expected: &'static str) -> MessageError {
        MessageError::WrongType { message: self.message, field, expected }
    }
}
