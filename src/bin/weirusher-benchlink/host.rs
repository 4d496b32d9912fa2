//! The gateways that this process hosts. They share only the pages of the endpoint list.

use crate::decode::{Pages, event, page};
use crate::encode::message;
use crate::error::{AdapterError, MessageError};
use crate::fields::Fields;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use weirusher::{Action, Gateway, PlatformSettings, Time};

/// One line of input: the messages for all gateways at one point in time.
#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "Moment")]
    now: Time,
    #[serde(rename = "n")]
    number: u64,
    groups: Vec<Group>,
}

/// The messages of a batch for one gateway.
#[derive(Deserialize)]
struct Group {
    #[serde(rename = "GatekeeperId")]
    gateway: u64,
    #[serde(rename = "msgs")]
    messages: Vec<Vec<Value>>,
}

/// The gateways of this process.
#[derive(Default)]
pub struct Host {
    gateways: BTreeMap<u64, Gateway>,
    pages: Pages,
}

impl Host {
    /// Handles a line of input and returns the line of output.
    ///
    /// # Errors
    /// Returns an error if the line is not a batch, or for the first message that cannot be decoded
    /// or handled.
    pub fn handle_batch(&mut self, line: &str) -> Result<Value, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::MalformedBatch)?;
        let mut groups = Vec::new();
        for group in &batch.groups {
            let mut actions = Vec::new();
            for message in &group.messages {
                self.handle_message(batch.now, group.gateway, message, &mut actions)
                    .map_err(|error| AdapterError::Message { number: batch.number, error })?;
            }
            if !actions.is_empty() {
                let decisions: Vec<Value> = actions.into_iter().map(message).collect();
                groups.push(json!({"GatekeeperId": group.gateway, "decisions": decisions}));
            }
        }
        Ok(json!({"n": batch.number, "groups": groups}))
    }

    fn handle_message(
        &mut self,
        now: Time,
        id: u64,
        message: &[Value],
        actions: &mut Vec<Action>,
    ) -> Result<(), MessageError> {
        let (name, values) = message.split_first().ok_or(MessageError::Empty)?;
        match name.as_str().ok_or(MessageError::Unnamed)? {
            "NEW_INSTANCE" => {
                self.gateways.insert(id, new_gateway(values)?);
            }
            "DESTROY" => {
                self.gateways.remove(&id).ok_or_else(|| unknown_instance("DESTROY", id))?;
                actions.clear();
            }
            "DIRECTORY" => {
                let (number, endpoints) = page(values)?;
                self.pages.insert(number, endpoints);
            }
            name => {
                let event = event(name, values, &self.pages)?;
                let gateway = self.gateways.get_mut(&id).ok_or_else(|| unknown_instance(name, id))?;
                if let Some(event) = event {
                    gateway.handle_event(now, event, actions);
                }
            }
        }
        Ok(())
    }
}

fn new_gateway(values: &[Value]) -> Result<Gateway, MessageError> {
    let fields = Fields::new("NEW_INSTANCE", values);
    let settings = PlatformSettings::read(fields.value(1, "Options")?)?.settings;
    Ok(Gateway::new(settings, fields.whole_number(0, "Nonce64")?)?)
}

fn unknown_instance(event: &str, instance: u64) -> MessageError {
    MessageError::UnknownInstance { event: event.to_string(), instance }
}
