//! Errors of the adapter. An error in a message names the batch, the message and the field.

use thiserror::Error;
use weirusher::{PlatformSettingsError, SettingsError};

/// An error that terminates the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    #[error("cannot read standard input: {0}")]
    Input(#[source] std::io::Error),
    #[error("cannot write to standard output: {0}")]
    Output(#[source] std::io::Error),
    #[error("malformed batch: {0}")]
    MalformedBatch(#[source] serde_json::Error),
    #[error("batch {number}: {error}")]
    Message {
        number: u64,
        #[source]
        error: MessageError,
    },
}

/// Why a message cannot be decoded or handled.
#[derive(Debug, Error)]
pub enum MessageError {
    #[error("message is an empty array")]
    Empty,
    #[error("message name is not a string")]
    Unnamed,
    #[error("unknown message {0}")]
    UnknownEvent(String),
    #[error("{event} for unknown instance {instance}")]
    UnknownInstance { event: String, instance: u64 },
    #[error("{message}.{field} is missing")]
    Missing { message: &'static str, field: &'static str },
    #[error("{message}.{field} is not {expected}")]
    WrongType { message: &'static str, field: &'static str, expected: &'static str },
    #[error("{message}.{field} has an unknown value")]
    UnknownValue { message: &'static str, field: &'static str },
    #[error("NEW_INSTANCE.Options: {0}")]
    PlatformSettings(#[from] PlatformSettingsError),
    #[error("NEW_INSTANCE.Options: {0}")]
    Settings(#[from] SettingsError),
}
