//! Decodes wire messages to events of the policy, one function per message.

use crate::error::MessageError;
use crate::fields::Fields;
use serde_json::Value;
use std::collections::BTreeMap;
use weirusher::{Endpoint, EndpointListKind, Event, Lifecycle, LoadReport, Location, Request, Status};

/// The bit of `StateBits` that marks a client's retry.
const RETRY_BIT: u64 = 2;

/// Endpoint lists, keyed by page number.
pub type Pages = BTreeMap<u64, Vec<Endpoint>>;

/// Decodes a message for one gateway. Returns `None` for a message that the policy does not use.
pub fn event(name: &str, values: &[Value], pages: &Pages) -> Result<Option<Event>, MessageError> {
    let event = match name {
        "PEERS_KNOWN" => endpoint_list(&Fields::new("PEERS_KNOWN", values), pages)?,
        "DEMAND" => request(&Fields::new("DEMAND", values))?,
        "HEAD_RECEIVED" => response_started(&Fields::new("HEAD_RECEIVED", values))?,
        "DONE" => attempt_ended(&Fields::new("DONE", values))?,
        "LEFT" => client_gone(&Fields::new("LEFT", values))?,
        "ELAPSED" => timer(&Fields::new("ELAPSED", values))?,
        "TALLIED" => counter_response(&Fields::new("TALLIED", values))?,
        // Results of health checks and messages from other gateways: the policy requests neither.
        "HEALTH_RESULT" | "NOTE_FROM" => return Ok(None),
        _ => return Err(MessageError::UnknownEvent(name.to_string())),
    };
    Ok(Some(event))
}

/// Decodes a page of the endpoint list to its number and its entries.
pub fn page(values: &[Value]) -> Result<(u64, Vec<Endpoint>), MessageError> {
    const MESSAGE: &str = "DIRECTORY";
    let fields = Fields::new(MESSAGE, values);
    let number = fields.whole_number(0, "Page")?;
    let items = fields.array(1, "Items")?.iter();
    let endpoints = items.map(|item| endpoint(&Fields::of_row(MESSAGE, "Items", item)?));
    Ok((number, endpoints.collect::<Result<_, _>>()?))
}

fn endpoint(fields: &Fields<'_>) -> Result<Endpoint, MessageError> {
    Ok(Endpoint {
        location: Location::from_numbers(
            fields.number_or(3, "Zone", 0.0)? as u32,
            fields.number_or(0, "Cell", 0.0)? as u32,
        ),
        started: fields.number_or(1, "StartTime", 0.0)?,
        lifecycle: match fields.text(4, "Lifecycle")? {
            "Running" => Lifecycle::Running,
            "Stopping" => Lifecycle::Draining,
            "Deleted" => Lifecycle::Removed,
            _ => return Err(fields.unknown("Lifecycle")),
        },
        id: fields.text(5, "Worker")?.into(),
    })
}

fn endpoint_list(fields: &Fields<'_>, pages: &Pages) -> Result<Event, MessageError> {
    let kind = match fields.text(2, "How")? {
        "D" => EndpointListKind::Delta,
        "F" => EndpointListKind::Snapshot,
        "C" => EndpointListKind::StaleSnapshot,
        "X" => EndpointListKind::Failed,
        _ => return Err(fields.unknown("How")),
    };
    let endpoints = if kind == EndpointListKind::Failed {
        Vec::new()
    } else {
        let page = fields.whole_number(1, "Page")?;
        pages.get(&page).cloned().ok_or_else(|| fields.unknown("Page"))?
    };
    Ok(Event::EndpointList { kind, endpoints })
}

fn request(fields: &Fields<'_>) -> Result<Event, MessageError> {
    Ok(Event::Request(Request {
        id: fields.text(0, "Job")?.into(),
        units: fields.number_or(1, "Weight", 1.0)?,
        first_instance: fields.number_or(2, "FromNo", 0.0)? as u32,
        deadline: fields.number(3, "Expires")?,
        plan: fields.number_or(4, "GradeOfService", 0.0)? as usize,
        customer_instances: fields.number_or(5, "NEntries", 1.0)? as u32,
        class: fields.number_or(6, "Category", 0.0)? as usize,
        customer: fields.text(7, "Customer").unwrap_or("").into(),
        is_retry: fields.number_or(8, "StateBits", 0.0)? as u64 & RETRY_BIT != 0,
    }))
}

fn response_started(fields: &Fields<'_>) -> Result<Event, MessageError> {
    Ok(Event::ResponseStarted { request: fields.text(0, "Job")?.into() })
}

fn attempt_ended(fields: &Fields<'_>) -> Result<Event, MessageError> {
    Ok(Event::AttemptEnded {
        request: fields.text(0, "Job")?.into(),
        attempt: fields.whole_number(1, "RoundNo")? as u32,
        backend: fields.text(2, "Worker")?.into(),
        status: status(fields, 3)?,
        elapsed: fields.number_or(4, "Spent", 0.0)?,
        request_ended: fields.boolean(5, "NoMore")?,
        settled_units: Some(fields.number_or(7, "Settled", 0.0)?).filter(|units| *units > 0.0),
        load: load_report(fields, 8),
    })
}

fn client_gone(fields: &Fields<'_>) -> Result<Event, MessageError> {
    Ok(Event::ClientGone { request: fields.text(0, "Job")?.into() })
}

fn timer(fields: &Fields<'_>) -> Result<Event, MessageError> {
    Ok(Event::Timer { token: fields.whole_number(0, "Name")? })
}

fn counter_response(fields: &Fields<'_>) -> Result<Event, MessageError> {
    Ok(Event::CounterResponse {
        counter: fields.whole_number(0, "Counter")?,
        status: status(fields, 1)?,
        total: fields.number_or(2, "Value", 0.0)?,
        elapsed: fields.number_or(3, "Spent", 0.0)?,
    })
}

fn status(fields: &Fields<'_>, position: usize) -> Result<Status, MessageError> {
    Ok(match fields.text(position, "Outcome")? {
        "S" => Status::Ok,
        "E" => Status::Error,
        "F" => Status::Rejected,
        "T" => Status::Timeout,
        "C" => Status::ConnectFailed,
        "R" => Status::Reset,
        "X" => Status::Cancelled,
        "N" => Status::NotSent,
        _ => return Err(fields.unknown("Outcome")),
    })
}

fn load_report(fields: &Fields<'_>, position: usize) -> LoadReport {
    let number = |key| fields.optional(position).and_then(|report| report.get(key)).and_then(Value::as_f64);
    let mut load = LoadReport::default();
    load.in_flight = number("busy_reqs");
    load.cpu_utilization = number("cpu_share");
    load
}
