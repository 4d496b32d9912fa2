//! Clients' requests, and the answers to them.

use bytes::{BufMut, BytesMut};
use std::collections::HashMap;
use weirusher::{CustomerId, Idempotency, PlatformSettings, RequestId};
use weirusher_wire::body::Framing;
use weirusher_wire::head::{Fields, RequestHead};
use weirusher_wire::http1::HttpError;

/// Most bytes of a request's body. The protocol page has 64 KiB, the later one some that are longer.
pub const MOST_BODY: usize = 1024 * 1024;
/// Most bytes of a request's id.
pub const MOST_ID: usize = 64;
/// Hex digits of a customer, and the bound on its number.
const CUSTOMER: (usize, u64) = (16, 1 << 33);
/// Most seconds that a client may say it waits: past that it is no deadline but a mistake.
const MOST_PATIENCE: f64 = 3600.0;
/// Where the front asks whether this gateway may be taken in.
const READY: &str = "/-/ready";

/// Why a request is answered with an error, and never passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// Its head is no HTTP/1.1.
    #[error("a head that cannot be read")]
    Head,
    /// Its head is too long.
    #[error("a head that is too long")]
    HeadTooLarge,
    /// Its length is given in two ways, in an encoding other than chunks, or not as a number.
    #[error("a length that cannot be used")]
    Length,
    /// Its body is too long.
    #[error("a body of more than {MOST_BODY} bytes")]
    BodyTooLarge,
    /// It took too long to come.
    #[error("a request that does not end")]
    Slow,
    /// No such path.
    #[error("a path that names no customer")]
    Path,
    /// The method does not fit its class.
    #[error("a method or body that does not fit the class")]
    Method,
    /// The named header is missing, came twice, or cannot be used.
    #[error("the header {0} is missing, doubled or out of range")]
    Field(&'static str),
    /// Its id is that of an open request.
    #[error("the id of an open request")]
    Doubled,
    /// There is no room for its body.
    #[error("no room for the body")]
    NoRoom,
}

impl BadRequest {
    /// The status that it is answered by.
    pub fn status(self) -> u16 {
        match self {
            Self::Head | Self::Length | Self::Field(_) => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::Slow => 408,
            Self::Path => 404,
            Self::Method => 405,
            Self::Doubled => 409,
            Self::NoRoom => 503,
        }
    }
}

impl From<HttpError> for BadRequest {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::HeadTooLarge => Self::HeadTooLarge,
            HttpError::BodyTooLarge => Self::BodyTooLarge,
            HttpError::Length => Self::Length,
            _ => Self::Head,
        }
    }
}

/// What requests may name, from the settings.
#[derive(Debug, Clone)]
pub struct Names {
    /// By class: its index, and whether it is safe to repeat.
    classes: HashMap<String, (usize, bool)>,
    plans: HashMap<String, usize>,
    gateways: u32,
    most_units: f64,
}

impl Names {
    /// The names of a site.
    pub fn new(site: &PlatformSettings) -> Self {
        let safe = |index: usize| site.settings.classes[index].idempotency == Idempotency::Idempotent;
        let class = |(index, name): (usize, &String)| (name.clone(), (index, safe(index)));
        Self {
            classes: site.classes.iter().enumerate().map(class).collect(),
            plans: site.plans.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect(),
            gateways: site.settings.instances,
            most_units: site.settings.max_request_units.max(1.0),
        }
    }
}

/// A request that may be decided on.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Its id.
    pub job: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// Index of its class.
    pub class: usize,
    /// Index of its plan.
    pub plan: usize,
    /// Units it takes.
    pub units: f64,
    /// How many gateways carry its customer, and the number of the first.
    pub spread: (u32, u32),
    /// Seconds that the client waits.
    pub patience: f64,
    /// It is a marked repeat.
    pub repeat: bool,
    /// How its body's end is told.
    pub framing: Framing,
    /// The client sends the body once it is told to go on.
    pub expects: bool,
    /// The connection closes after the answer.
    pub closes: bool,
}

/// What tells a client to go on with its body.
pub const GO_ON: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What a head asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Asked {
    /// Whether this gateway is ready.
    Ready,
    /// A request.
    Demand(Demand),
}

/// Reads a client's head.
///
/// # Errors
/// What is wrong with it; the connection is of no further use, as what follows the head is not known.
pub fn read(names: &Names, head: &RequestHead<'_, '_>) -> Result<Asked, BadRequest> {
    let fields = &head.fields;
    let framing = fields.framing(MOST_BODY)?.unwrap_or(Framing::Length(0));
    let empty = framing == Framing::Length(0);
    if (head.method, head.target) == ("GET", READY) && empty {
        return Ok(Asked::Ready);
    }
    // One number, in whatever case its digits come.
    let customer = customer(head.target).ok_or(BadRequest::Path)?.to_ascii_lowercase();
    let job = one(fields, "X-Trace-Id")?;
    if job.is_empty() || job.len() > MOST_ID || !job.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(BadRequest::Field("X-Trace-Id"));
    }
    let class = names.classes.get(one(fields, "X-Qos")?).ok_or(BadRequest::Field("X-Qos"))?;
    let plan = names.plans.get(one(fields, "Plan")?).ok_or(BadRequest::Field("Plan"))?;
    let fits = if class.1 { head.method == "GET" && empty } else { head.method == "POST" };
    if !fits {
        return Err(BadRequest::Method);
    }
    let patience = patience(one(fields, "X-Expires-In")?).ok_or(BadRequest::Field("X-Expires-In"))?;
    let (units, spread) = quota(names, one(fields, "Quota-Info")?).ok_or(BadRequest::Field("Quota-Info"))?;
    let repeat = match fields.one("X-Second-Try") {
        Ok(None | Some("0")) => false,
        Ok(Some("1")) => true,
        _ => return Err(BadRequest::Field("X-Second-Try")),
    };
    Ok(Asked::Demand(Demand {
        job: job.into(),
        customer: customer.into(),
        class: class.0,
        plan: *plan,
        units,
        spread,
        patience,
        repeat,
        framing,
        expects: fields
            .one("Expect")
            .is_ok_and(|e| e.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))),
        closes: fields.closes(),
    }))
}

fn one<'b>(fields: &Fields<'_, 'b>, name: &'static str) -> Result<&'b str, BadRequest> {
    fields.one(name).ok().flatten().ok_or(BadRequest::Field(name))
}

/// The customer that a path ends with.
fn customer(target: &str) -> Option<&str> {
    let (path, _) = target.split_once('?').unwrap_or((target, ""));
    if !target.bytes().all(|b| b.is_ascii_graphic()) {
        return None;
    }
    let (before, name) = path.rsplit_once('/')?;
    let digits = name.len() == CUSTOMER.0 && name.bytes().all(|b| b.is_ascii_hexdigit());
    let known = digits && u64::from_str_radix(name, 16).is_ok_and(|number| number < CUSTOMER.1);
    (known && before.starts_with('/')).then_some(name)
}

/// A plain decimal: digits with at most one point among them. No sign, exponent, infinity or nothing.
fn decimal(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let bounded = text.len() <= 24 && text.bytes().any(|b| b.is_ascii_digit());
    if plain && bounded { text.parse().ok() } else { None }
}

/// A time with its unit, in seconds.
fn patience(text: &str) -> Option<f64> {
    let (number, scale) = match text.strip_suffix('m') {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('u')?, 1e-6),
    };
    let seconds = decimal(number)? * scale;
    (seconds > 0.0 && seconds <= MOST_PATIENCE).then_some(seconds)
}

/// The units, and the customer's set.
fn quota(names: &Names, text: &str) -> Option<(f64, (u32, u32))> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in text.split(',') {
        let (key, value) = part.trim().split_once('=')?;
        let doubled = match key {
            "units" => units.replace(decimal(value)?).is_some(),
            "spread" => spread.replace(whole(value)?).is_some(),
            "first" => first.replace(whole(value)?).is_some(),
            _ => false,
        };
        if doubled {
            return None;
        }
    }
    let (units, spread, first) = (units?, spread?, first?);
    let sound = units > 0.0 && units <= names.most_units && (1..=names.gateways).contains(&spread);
    (sound && first < names.gateways).then_some((units, (spread, first)))
}

fn whole(text: &str) -> Option<u32> {
    if text.bytes().all(|b| b.is_ascii_digit()) { text.parse().ok() } else { None }
}

/// The end of a head: the body's length, and whether the connection closes.
fn finish(dst: &mut BytesMut, length: usize, close: bool) {
    dst.put_slice(b"Content-Length: ");
    dst.put_slice(length.to_string().as_bytes());
    dst.put_slice(if close { b"\r\nConnection: close\r\n\r\n" } else { b"\r\n\r\n" });
}

/// Writes the head of an answer that a backend made; its body of `length` bytes follows.
pub fn write_served(dst: &mut BytesMut, length: usize, close: bool) {
    dst.put_slice(b"HTTP/1.1 200 OK\r\n");
    finish(dst, length, close);
}

/// Writes a refusal: the client may come again, after `retry_after` seconds where that is not 0.
pub fn write_refused(dst: &mut BytesMut, retry_after: f64, close: bool) {
    dst.put_slice(b"HTTP/1.1 429 Too Many Requests\r\n");
    if retry_after > 0.0 {
        dst.put_slice(format!("Retry-After: {retry_after:.3}\r\n").as_bytes());
    }
    finish(dst, 0, close);
}

/// Writes a refusal by a gateway that is stopping: the client may come again at once, elsewhere.
pub fn write_unavailable(dst: &mut BytesMut, close: bool) {
    dst.put_slice(b"HTTP/1.1 503 Service Unavailable\r\n");
    finish(dst, 0, close);
}

/// Writes a failure, with no promise.
pub fn write_failed(dst: &mut BytesMut, close: bool) {
    dst.put_slice(b"HTTP/1.1 502 Bad Gateway\r\n");
    finish(dst, 0, close);
}

/// Writes the answer to what could not be read; the connection closes.
pub fn write_error(dst: &mut BytesMut, error: BadRequest) {
    dst.put_slice(format!("HTTP/1.1 {} -\r\n", error.status()).as_bytes());
    finish(dst, 0, true);
}

/// Writes whether this gateway may be taken in.
pub fn write_ready(dst: &mut BytesMut, ready: bool, close: bool) {
    dst.put_slice(if ready { b"HTTP/1.1 200 OK\r\n" } else { b"HTTP/1.1 503 Not Ready\r\n" });
    finish(dst, 0, close);
}
