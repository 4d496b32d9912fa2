//! What can be wrong with the input, each error with the batch, the message and the field.

use thiserror::Error;
use weirusher::{PlatformSettingsError, SettingsError};

/// Why the adapter ends.
#[derive(Debug, Error)]
pub enum LinkError {
    #[error("input: {0}")]
    Input(#[source] std::io::Error),
    #[error("output: {0}")]
    Output(#[source] std::io::Error),
    #[error("batch is malformed: {0}")]
    MalformedBatch(#[source] serde_json::Error),
    #[error("batch {number}: {error}")]
    Message {
        number: u64,
        #[source]
        error: MessageError,
    },
}

/// What is wrong with a message.
#[derive(Debug, Error)]
pub enum MessageError {
    #[error("an event is empty")]
    Empty,
    #[error("an event's name is not a string")]
    Unnamed,
    #[error("event {0} is unknown")]
    UnknownEvent(String),
    #[error("{event} for unknown instance {instance}")]
    UnknownInstance { event: String, instance: u64 },
    #[error("{message}.{field} is missing")]
    Missing { message: &'static str, field: &'static str },
    #[error("{message}.{field} is not {expected}")]
    WrongType { message: &'static str, field: &'static str, expected: &'static str },
    #[error("{message}.{field} is unknown")]
    UnknownValue { message: &'static str, field: &'static str },
    #[error("NEW_INSTANCE.Options: {0}")]
    PlatformSettings(#[from] PlatformSettingsError),
    #[error("NEW_INSTANCE.Options: {0}")]
    Settings(#[from] SettingsError),
}
