//! The bench's adapter: translates the wire to the module's events and its actions back. It decides nothing.
#![forbid(unsafe_code)]

use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use weirusher::*;

type Fallible<T> = Result<T, String>;

#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "Moment")]
    moment: f64,
    n: u64,
    groups: Vec<Inbox>,
}

#[derive(Deserialize)]
struct Inbox {
    #[serde(rename = "GatekeeperId")]
    gateway: u64,
    msgs: Vec<Vec<Value>>,
}

/// Positional values of one message, read by place and name.
struct Row<'a>(&'a [Value], &'static str);

impl Row<'_> {
    fn at(&self, i: usize, field: &str) -> Fallible<&Value> {
        self.0.get(i).filter(|v| !v.is_null()).ok_or_else(|| format!("{}.{field} is missing", self.1))
    }
    fn num(&self, i: usize, field: &str) -> Fallible<f64> {
        self.at(i, field)?.as_f64().ok_or_else(|| format!("{}.{field} is not a number", self.1))
    }
    fn num_or(&self, i: usize, field: &str, default: f64) -> Fallible<f64> {
        if self.0.get(i).is_none_or(Value::is_null) { Ok(default) } else { self.num(i, field) }
    }
    fn int(&self, i: usize, field: &str) -> Fallible<u64> {
        self.at(i, field)?.as_u64().ok_or_else(|| format!("{}.{field} is not a whole number", self.1))
    }
    fn text(&self, i: usize, field: &str) -> Fallible<&str> {
        self.at(i, field)?.as_str().ok_or_else(|| format!("{}.{field} is not a string", self.1))
    }
    fn status(&self, i: usize) -> Fallible<Status> {
        Ok(match self.text(i, "Outcome")? {
            "S" => Status::Ok,
            "E" => Status::Error,
            "F" => Status::Rejected,
            "T" => Status::Timeout,
            "C" => Status::ConnectFailed,
            "R" => Status::Reset,
            "X" => Status::Cancelled,
            "N" => Status::NotSent,
            _ => return Err(format!("{}.Outcome is unknown", self.1)),
        })
    }
    fn load(&self, i: usize) -> LoadReport {
        let value = |key: &str| self.0.get(i).and_then(|r| r.get(key)).and_then(Value::as_f64);
        let mut load = LoadReport::default();
        load.inflight = value("busy_reqs");
        load.util = value("cpu_share");
        load
    }
}

fn entries(items: &Value) -> Fallible<Vec<Endpoint>> {
    let items = items.as_array().ok_or("DIRECTORY.Items is not an array")?;
    let entry = |item: &Value| {
        let row = Row(item.as_array().ok_or("DIRECTORY.Items holds no rows")?, "DIRECTORY");
        Ok(Endpoint {
            cell: row.num_or(0, "Cell", 0.0)? as u32,
            started: row.num_or(1, "StartTime", 0.0)?,
            zone: row.num_or(3, "Zone", 0.0)? as u32,
            lifecycle: match row.text(4, "Lifecycle")? {
                "Running" => Lifecycle::Running,
                "Stopping" => Lifecycle::Draining,
                "Deleted" => Lifecycle::Removed,
                _ => return Err("DIRECTORY.Lifecycle is unknown".to_string()),
            },
            id: row.text(5, "Worker")?.into(),
        })
    };
    items.iter().map(entry).collect()
}

fn event(name: &str, values: &[Value], pages: &BTreeMap<u64, Vec<Endpoint>>) -> Fallible<Option<Event>> {
    let row = |label| Row(values, label);
    Ok(Some(match name {
        "PEERS_KNOWN" => {
            let row = row("PEERS_KNOWN");
            let kind = match row.text(2, "How")? {
                "D" => EndpointListKind::Delta,
                "F" => EndpointListKind::Snapshot,
                "C" => EndpointListKind::StaleSnapshot,
                "X" => EndpointListKind::Failed,
                _ => return Err("PEERS_KNOWN.How is unknown".into()),
            };
            let servers = match kind {
                EndpointListKind::Failed => Vec::new(),
                _ => pages.get(&row.int(1, "Page")?).cloned().ok_or("PEERS_KNOWN.Page is unknown")?,
            };
            Event::EndpointList { kind, endpoints: servers }
        }
        "DEMAND" => {
            let row = row("DEMAND");
            Event::Request(Request {
                id: row.text(0, "Job")?.into(),
                units: row.num_or(1, "Weight", 1.0)?,
                first_instance: row.num_or(2, "FromNo", 0.0)? as u32,
                deadline: row.num(3, "Expires")?,
                plan: row.num_or(4, "GradeOfService", 0.0)? as usize,
                customer_instances: row.num_or(5, "NEntries", 1.0)? as u32,
                class: row.num_or(6, "Category", 0.0)? as usize,
                customer: row.text(7, "Customer").unwrap_or("").into(),
                is_retry: row.num_or(8, "StateBits", 0.0)? as u64 & 2 != 0,
            })
        }
        "HEAD_RECEIVED" => Event::ResponseStarted { request: row("HEAD_RECEIVED").text(0, "Job")?.into() },
        "DONE" => {
            let row = row("DONE");
            Event::AttemptEnded {
                request: row.text(0, "Job")?.into(),
                attempt: row.int(1, "RoundNo")? as u32,
                backend: row.text(2, "Worker")?.into(),
                status: row.status(3)?,
                elapsed: row.num_or(4, "Spent", 0.0)?,
                request_ended: row.at(5, "NoMore")?.as_bool().ok_or("DONE.NoMore is not a bool")?,
                settled_units: Some(row.num_or(7, "Settled", 0.0)?).filter(|u| *u > 0.0),
                load: row.load(8),
            }
        }
        "LEFT" => Event::ClientGone { request: row("LEFT").text(0, "Job")?.into() },
        "ELAPSED" => Event::Timer { token: row("ELAPSED").int(0, "Name")? },
        "HEALTH_RESULT" => {
            let row = row("HEALTH_RESULT");
            Event::HealthChecked {
                backend: row.text(0, "Worker")?.into(),
                status: row.status(1)?,
                load: row.load(3),
            }
        }
        "TALLIED" => {
            let row = row("TALLIED");
            Event::CounterResponse {
                counter: row.int(0, "Counter")?,
                status: row.status(1)?,
                total: row.num_or(2, "Value", 0.0)?,
                elapsed: row.num_or(3, "Spent", 0.0)?,
            }
        }
        "NOTE_FROM" => return Ok(None),
        _ => return Err(format!("event {name} is unknown")),
    }))
}

fn reply(action: Action) -> Value {
    match action {
        Action::Forward { request: job, backend: server, timeout, .. } => {
            json!(["PLACE", &*job, timeout, &*server])
        }
        Action::Reject { request: job, retry_after, .. } => json!(["PUSH_BACK", &*job, retry_after]),
        Action::Fail { request: job, .. } => json!(["SURRENDER", &*job]),
        Action::CancelAttempt { request: job, attempt } => json!(["REVOKE", &*job, attempt]),
        Action::SetTimer { token, at } => json!(["DEFER", token, at]),
        Action::HealthCheck { backend: server } => json!(["POLL", &*server]),
        Action::AddToCounter { counter, amount, ttl } => json!(["INCR", counter, amount, ttl]),
        Action::WatchEndpoints => json!(["SUBSCRIBE", true]),
        Action::Log(text) => json!(["DEBUG", text]),
        other => json!(["PANIC", format!("no wire form for {other:?}")]),
    }
}

/// The instances this process hosts and the numbered lists of the wire; instances share nothing.
#[derive(Default)]
struct Host {
    gateways: BTreeMap<u64, Gateway>,
    pages: BTreeMap<u64, Vec<Endpoint>>,
}

impl Host {
    fn message(&mut self, now: Time, id: u64, msg: &[Value], out: &mut Vec<Action>) -> Fallible<()> {
        let (name, values) = msg.split_first().ok_or("an event is empty")?;
        match name.as_str().ok_or("an event's name is not a string")? {
            "NEW_INSTANCE" => {
                let row = Row(values, "NEW_INSTANCE");
                let settings =
                    PlatformSettings::read(row.at(1, "Options")?).map_err(|e| e.to_string())?.settings;
                let gateway = Gateway::new(settings, row.int(0, "Nonce64")?)
                    .map_err(|e| format!("NEW_INSTANCE.Options: {e}"))?;
                self.gateways.insert(id, gateway);
            }
            "DESTROY" => {
                self.gateways.remove(&id).ok_or("DESTROY for an unknown instance")?;
                out.clear();
            }
            "DIRECTORY" => {
                let row = Row(values, "DIRECTORY");
                self.pages.insert(row.int(0, "Page")?, entries(row.at(1, "Items")?)?);
            }
            name => {
                let event = event(name, values, &self.pages)?;
                let gateway = self.gateways.get_mut(&id);
                let gateway = gateway.ok_or_else(|| format!("{name} for unknown instance {id}"))?;
                if let Some(event) = event {
                    gateway.handle(now, event, out);
                }
            }
        }
        Ok(())
    }

    fn batch(&mut self, line: &str) -> Fallible<Value> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("batch is malformed: {e}"))?;
        let mut groups = Vec::new();
        for inbox in &batch.groups {
            let mut out = Vec::new();
            for msg in &inbox.msgs {
                self.message(batch.moment, inbox.gateway, msg, &mut out)
                    .map_err(|e| format!("batch {}: {e}", batch.n))?;
            }
            if !out.is_empty() {
                let decisions: Vec<Value> = out.into_iter().map(reply).collect();
                groups.push(json!({"GatekeeperId": inbox.gateway, "decisions": decisions}));
            }
        }
        Ok(json!({"n": batch.n, "groups": groups}))
    }
}

fn serve() -> Fallible<()> {
    let (stdin, mut stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let line = line.map_err(|e| format!("input: {e}"))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line)?;
        writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).map_err(|e| format!("output: {e}"))?;
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match serve() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("weirusher-benchlink: {message}");
            std::process::ExitCode::FAILURE
        }
    }
}
