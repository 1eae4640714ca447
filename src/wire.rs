//! Translates the JSON lines of the simulator's wire to events, and actions to JSON lines. All decisions are
//! left to [`Scheduler`].

use serde::{Deserialize, Serialize};
use shorepath_scheduler::{
    micros_from_ms, name_hash, Action, AttemptStatus, Catalog, ClassId, Endpoint, EndpointId, EndpointState,
    Event, KeyId, KindId, Micros, NameTable, Request, RequestId, Scheduler, SettingsObject, TenantId,
    WorkState, ZoneId,
};
use std::collections::HashMap;
use std::io::{BufRead, Write};

/// A line of input. Its fields have their names on the wire, and the type `t` decides which of them are
/// required.
#[derive(Deserialize)]
struct Line {
    t: String,
    scheduler: Option<String>,
    wall_ms: Option<f64>,
    salt: Option<u64>,
    setup: Option<SettingsObject>,
    form: Option<String>,
    items: Option<Vec<Item>>,
    xid: Option<u64>,
    seq_no: Option<u32>,
    user_group: Option<serde_json::Value>,
    key: Option<String>,
    time_left_ms: Option<f64>,
    hint_ms: Option<f64>,
    needs: Option<f64>,
    #[serde(default)]
    resent: bool,
    service: Option<String>,
    kind: Option<i64>,
    amount: Option<f64>,
    status: Option<i64>,
    #[serde(default)]
    settled: bool,
    worker: Option<String>,
    report: Option<Vec<f64>>,
}

/// An entry of the endpoint list. Its fields have their names on the wire.
#[derive(Deserialize)]
struct Item {
    #[serde(default)]
    sku: String,
    worker: String,
    #[serde(default = "default_scale")]
    scale: f64,
    condition: String,
    #[serde(default)]
    born_ms: f64,
    #[serde(default)]
    region_part: String,
    #[serde(default)]
    group: i64,
}

fn default_scale() -> f64 {
    1.0
}

/// A line of output. Its fields have their names on the wire, and those that are `None` are omitted.
#[derive(Serialize, Default)]
struct Reply<'a> {
    t: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    scheduler: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    xid: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    worker: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    seq_no: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    backoff_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cookie: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    active: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<&'a str>,
}

/// A scheduler on the wire, with what is needed to read its lines.
struct Instance {
    scheduler: Scheduler,
    catalog: Catalog,
    settings_object: SettingsObject,
}

fn ms_from_micros(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}

/// Returns the outcome for a status code of the wire. Unknown codes count as errors.
fn attempt_status(code: i64) -> AttemptStatus {
    match code {
        0 => AttemptStatus::Ok,
        8 => AttemptStatus::Overloaded,
        4 => AttemptStatus::Timeout,
        14 => AttemptStatus::ConnectFailed,
        10 => AttemptStatus::Reset,
        1 => AttemptStatus::Cancelled,
        9 => AttemptStatus::NotSent,
        _ => AttemptStatus::Error,
    }
}

/// Returns a required field.
///
/// # Errors
/// A message that names the missing field.
fn required<T>(field: Option<T>, name: &str) -> Result<T, String> {
    field.ok_or_else(|| format!("field '{name}' is missing"))
}

impl Instance {
    /// Reads entries of the endpoint list.
    fn endpoints(&mut self, items: Vec<Item>) -> Result<Vec<Endpoint>, String> {
        let mut endpoints = Vec::with_capacity(items.len());
        for item in items {
            endpoints.push(Endpoint {
                id: EndpointId(self.catalog.endpoints.intern(&item.worker)),
                name_hash: name_hash(&item.worker),
                kind: KindId(self.catalog.kinds.intern(&item.sku)),
                zone: ZoneId(self.catalog.zones.intern(&item.region_part)),
                cell: item.group as u32,
                capacity: item.scale,
                state: match item.condition.as_str() {
                    "live" => EndpointState::Live,
                    "quiescing" => EndpointState::Draining,
                    "dead" => EndpointState::Removed,
                    other => return Err(format!("unknown condition '{other}'")),
                },
                started_at: micros_from_ms(item.born_ms),
            });
        }
        Ok(endpoints)
    }

    /// Reads the request of a `REQUEST` line.
    fn request(&self, line: &Line) -> Result<Request, String> {
        let service = required(line.service.as_deref(), "service")?;
        let class = self.catalog.classes.get(service).ok_or_else(|| format!("unknown service '{service}'"));
        let tenant = line.user_group.as_ref().and_then(|v| v.as_str());
        Ok(Request {
            id: required(line.xid, "xid").map(RequestId)?,
            class: ClassId(class? as usize),
            tenant: tenant.and_then(|n| self.catalog.tenants.get(n)).map(|n| TenantId(n as usize)),
            key: line.key.as_deref().map(|k| KeyId(name_hash(k))),
            time_remaining: micros_from_ms(required(line.time_left_ms, "time_left_ms")?),
            work_hint: line.hint_ms.filter(|h| *h > 0.0).map(micros_from_ms),
            slots: line.needs.unwrap_or(1.0).max(1.0) as u32,
            is_retry: line.resent,
            work_state: WorkState::New,
            is_remote: false,
        })
    }

    /// Reads the event of a line, or returns `None` for a line that the scheduler does not use.
    fn event(&mut self, line: Line) -> Result<Option<Event>, String> {
        let id = || required(line.xid, "xid").map(RequestId);
        let attempt = || required(line.seq_no, "seq_no");
        Ok(Some(match line.t.as_str() {
            "SYNC" => {
                let form = required(line.form, "form")?;
                if form == "broken" {
                    return Ok(Some(Event::EndpointListFailed));
                }
                let endpoints = self.endpoints(required(line.items, "items")?)?;
                match form.as_str() {
                    "whole" | "stale_copy" => Event::EndpointList(endpoints),
                    "patch" => Event::EndpointUpdate(endpoints),
                    other => return Err(format!("unknown form '{other}'")),
                }
            }
            "REQUEST" => Event::RequestArrived(self.request(&line)?),
            "ACCEPTED" => Event::StreamStarted { id: id()?, attempt: attempt()? },
            "NOTE" => match required(line.kind, "kind")? {
                1 => Event::AttemptStarted { id: id()?, attempt: attempt()? },
                2 => Event::AttemptProgress {
                    id: id()?,
                    attempt: attempt()?,
                    done: line.amount.unwrap_or(0.0),
                },
                _ => return Ok(None),
            },
            "ATTEMPT_END" => Event::AttemptEnded {
                id: id()?,
                attempt: attempt()?,
                status: attempt_status(required(line.status, "status")?),
                is_final: line.settled,
            },
            "VANISHED" => Event::ClientLeft(id()?),
            "ELAPSED" => Event::Wake,
            "PONG" => Event::ProbeEnded {
                endpoint: EndpointId(self.catalog.endpoints.intern(&required(line.worker, "worker")?)),
                status: attempt_status(required(line.status, "status")?),
                report: self.settings_object.load_report_from_row(line.report.as_deref().unwrap_or_default()),
            },
            // Schedulers send no datagrams to each other.
            "DATAGRAM" => return Ok(None),
            other => return Err(format!("unknown message '{other}'")),
        }))
    }
}

fn encode_action<'a>(action: &Action, name: &'a str, endpoints: &'a NameTable) -> Reply<'a> {
    let worker = |endpoint: &EndpointId| endpoints.name(endpoint.0);
    let base = Reply { scheduler: Some(name), ..Reply::default() };
    match action {
        Action::StartAttempt { id, endpoint } => {
            Reply { t: "TRY", xid: Some(id.0), worker: worker(endpoint), ..base }
        }
        Action::Shed { id, retry_after } => {
            Reply { t: "REFUSE", xid: Some(id.0), backoff_ms: retry_after.map(ms_from_micros), ..base }
        }
        Action::Reject { id, .. } => Reply { t: "REFUSE", xid: Some(id.0), ..base },
        Action::Fail { id } => Reply { t: "FAIL", xid: Some(id.0), ..base },
        Action::CancelAttempt { id, attempt } => {
            Reply { t: "REVOKE", xid: Some(id.0), seq_no: Some(*attempt), ..base }
        }
        Action::WakeAfter { delay } => {
            Reply { t: "AFTER", after_ms: Some(ms_from_micros((*delay).max(0))), cookie: Some(0), ..base }
        }
        Action::Probe { endpoint } => Reply { t: "INSPECT", worker: worker(endpoint), ..base },
        Action::CloseIdleConnections { endpoint } => Reply { t: "HANG_UP", worker: worker(endpoint), ..base },
        Action::Subscribe => Reply { t: "KEEP_INFORMED", active: Some(true), ..base },
    }
}

/// Runs schedulers on the wire until the input ends.
///
/// # Errors
/// A message with the number of the malformed line and what is wrong with it, or that reading or writing
/// failed. If a scheduler panics, a `FATAL` line is written as well.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances: HashMap<String, Instance> = HashMap::new();
    let mut now: Micros = 0;
    let mut actions = Vec::new();
    for (index, text) in input.lines().enumerate() {
        let text = text.map_err(|e| format!("line {}: {e}", index + 1))?;
        if text.trim().is_empty() {
            continue;
        }
        let with_line = |e: String| format!("line {}: {e}", index + 1);
        let mut line: Line = serde_json::from_str(&text).map_err(|e| with_line(e.to_string()))?;
        match line.t.as_str() {
            "FRAME" => now = micros_from_ms(required(line.wall_ms, "wall_ms").map_err(with_line)?),
            "YOUR_TURN" => {
                write_line(&mut output, &Reply { t: "END", ..Reply::default() })?;
                output.flush().map_err(|e| e.to_string())?;
            }
            "POWER_ON" => {
                let name = required(line.scheduler, "scheduler").map_err(with_line)?;
                let settings_object = required(line.setup, "setup").map_err(with_line)?;
                let (settings, catalog) = settings_object.to_settings();
                let scheduler = Scheduler::new(settings, line.salt.unwrap_or(0));
                instances.insert(name, Instance { scheduler, catalog, settings_object });
            }
            "HALT" => drop(instances.remove(&required(line.scheduler, "scheduler").map_err(with_line)?)),
            _ => {
                let name = required(line.scheduler.take(), "scheduler").map_err(with_line)?;
                let instance = instances.get_mut(&name).ok_or_else(|| {
                    with_line(format!("no scheduler '{name}' is running; send POWER_ON first"))
                })?;
                let Some(event) = instance.event(line).map_err(with_line)? else { continue };
                let handle_event =
                    std::panic::AssertUnwindSafe(|| instance.scheduler.handle(now, event, &mut actions));
                if let Err(panic) = std::panic::catch_unwind(handle_event) {
                    let message = panic
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or(panic.downcast_ref::<&str>().copied())
                        .unwrap_or("the scheduler panicked");
                    let fatal = Reply {
                        t: "FATAL",
                        scheduler: Some(&name),
                        messages: Some(message),
                        ..Reply::default()
                    };
                    write_line(&mut output, &fatal)?;
                    write_line(&mut output, &Reply { t: "END", ..Reply::default() })?;
                    output.flush().map_err(|e| e.to_string())?;
                    return Err(with_line(format!("the scheduler panicked: {message}")));
                }
                for action in actions.drain(..) {
                    write_line(&mut output, &encode_action(&action, &name, &instance.catalog.endpoints))?;
                }
            }
        }
    }
    Ok(())
}

fn write_line(output: &mut impl Write, reply: &Reply) -> Result<(), String> {
    serde_json::to_writer(&mut *output, reply).map_err(|e| e.to_string())?;
    output.write_all(b"\n").map_err(|e| e.to_string())
}
