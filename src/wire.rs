//! JSON lines to events and actions to JSON lines. Nothing is decided here.

use serde::{Deserialize, Serialize};
use shorepath_scheduler::{
    micros_from_ms, name_hash, Action, AttemptStatus, Catalog, ClassId, Endpoint, EndpointId, EndpointState,
    Event, KeyId, KindId, Micros, NameTable, Request, RequestId, Scheduler, SettingsObject, TenantId,
    WorkState, ZoneId,
};
use std::collections::HashMap;
use std::io::{BufRead, Write};

/// One incoming line; which fields count depends on `t`.
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

#[derive(Deserialize)]
struct Item {
    #[serde(default)]
    sku: String,
    worker: String,
    #[serde(default = "one")]
    scale: f64,
    condition: String,
    #[serde(default)]
    born_ms: f64,
    #[serde(default)]
    region_part: String,
    #[serde(default)]
    group: i64,
}

fn one() -> f64 {
    1.0
}

/// One outgoing line.
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

struct Instance {
    balancer: Scheduler,
    names: Catalog,
    setup: SettingsObject,
}

fn ms(t: Micros) -> f64 {
    t as f64 / 1000.0
}

fn status(number: i64) -> AttemptStatus {
    match number {
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

fn need<T>(field: Option<T>, name: &str) -> Result<T, String> {
    field.ok_or_else(|| format!("field '{name}' is missing"))
}

impl Instance {
    fn members(&mut self, items: Vec<Item>) -> Result<Vec<Endpoint>, String> {
        let mut list = Vec::with_capacity(items.len());
        for i in items {
            list.push(Endpoint {
                id: EndpointId(self.names.endpoints.intern(&i.worker)),
                name_hash: name_hash(&i.worker),
                kind: KindId(self.names.kinds.intern(&i.sku)),
                zone: ZoneId(self.names.zones.intern(&i.region_part)),
                cell: i.group as u32,
                capacity: i.scale,
                state: match i.condition.as_str() {
                    "live" => EndpointState::Live,
                    "quiescing" => EndpointState::Draining,
                    "dead" => EndpointState::Removed,
                    other => return Err(format!("unknown condition '{other}'")),
                },
                started_at: micros_from_ms(i.born_ms),
            });
        }
        Ok(list)
    }

    /// The request that a line brings.
    fn request(&self, line: &Line) -> Result<Request, String> {
        let service = need(line.service.as_deref(), "service")?;
        let class = self.names.classes.get(service).ok_or_else(|| format!("unknown service '{service}'"));
        let tenant = line.user_group.as_ref().and_then(|v| v.as_str());
        Ok(Request {
            id: need(line.xid, "xid").map(RequestId)?,
            class: ClassId(class? as usize),
            tenant: tenant.and_then(|n| self.names.tenants.get(n)).map(|n| TenantId(n as usize)),
            key: line.key.as_deref().map(|k| KeyId(name_hash(k))),
            time_remaining: micros_from_ms(need(line.time_left_ms, "time_left_ms")?),
            work_hint: line.hint_ms.filter(|h| *h > 0.0).map(micros_from_ms),
            slots: line.needs.unwrap_or(1.0).max(1.0) as u32,
            is_retry: line.resent,
            work_state: WorkState::New,
            is_remote: false,
        })
    }

    /// The event that a line stands for; `None` for what the module has no use for.
    fn event(&mut self, line: Line) -> Result<Option<Event>, String> {
        let id = || need(line.xid, "xid").map(RequestId);
        let attempt = || need(line.seq_no, "seq_no");
        Ok(Some(match line.t.as_str() {
            "SYNC" => {
                let form = need(line.form, "form")?;
                if form == "broken" {
                    return Ok(Some(Event::EndpointListFailed));
                }
                let list = self.members(need(line.items, "items")?)?;
                match form.as_str() {
                    "whole" | "stale_copy" => Event::EndpointList(list),
                    "patch" => Event::EndpointUpdate(list),
                    other => return Err(format!("unknown form '{other}'")),
                }
            }
            "REQUEST" => Event::RequestArrived(self.request(&line)?),
            "ACCEPTED" => Event::StreamStarted { id: id()?, attempt: attempt()? },
            "NOTE" => match need(line.kind, "kind")? {
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
                status: status(need(line.status, "status")?),
                is_final: line.settled,
            },
            "VANISHED" => Event::ClientLeft(id()?),
            "ELAPSED" => Event::Wake,
            "PONG" => Event::ProbeEnded {
                endpoint: EndpointId(self.names.endpoints.intern(&need(line.worker, "worker")?)),
                status: status(need(line.status, "status")?),
                report: self.setup.load_report_from_row(line.report.as_deref().unwrap_or_default()),
            },
            // Instances have nothing to tell each other.
            "DATAGRAM" => return Ok(None),
            other => return Err(format!("unknown message '{other}'")),
        }))
    }
}

fn reply<'a>(action: &Action, name: &'a str, workers: &'a NameTable) -> Reply<'a> {
    let worker = |w: &EndpointId| workers.name(w.0);
    let base = Reply { scheduler: Some(name), ..Reply::default() };
    match action {
        Action::StartAttempt { id, endpoint: w } => {
            Reply { t: "TRY", xid: Some(id.0), worker: worker(w), ..base }
        }
        Action::Shed { id, retry_after } => {
            Reply { t: "REFUSE", xid: Some(id.0), backoff_ms: retry_after.map(ms), ..base }
        }
        Action::Reject { id, .. } => Reply { t: "REFUSE", xid: Some(id.0), ..base },
        Action::Fail { id } => Reply { t: "FAIL", xid: Some(id.0), ..base },
        Action::CancelAttempt { id, attempt } => {
            Reply { t: "REVOKE", xid: Some(id.0), seq_no: Some(*attempt), ..base }
        }
        Action::WakeAfter { delay: after } => {
            Reply { t: "AFTER", after_ms: Some(ms((*after).max(0))), cookie: Some(0), ..base }
        }
        Action::Probe { endpoint: w } => Reply { t: "INSPECT", worker: worker(w), ..base },
        Action::CloseIdleConnections { endpoint: w } => Reply { t: "HANG_UP", worker: worker(w), ..base },
        Action::Subscribe => Reply { t: "KEEP_INFORMED", active: Some(true), ..base },
    }
}

/// Serve the wire until the input ends. An error is a plain message on what was malformed.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances: HashMap<String, Instance> = HashMap::new();
    let mut now: Micros = 0;
    let mut actions = Vec::new();
    for (n, text) in input.lines().enumerate() {
        let text = text.map_err(|e| format!("line {}: {e}", n + 1))?;
        if text.trim().is_empty() {
            continue;
        }
        let at = |e: String| format!("line {}: {e}", n + 1);
        let mut line: Line = serde_json::from_str(&text).map_err(|e| at(e.to_string()))?;
        match line.t.as_str() {
            "FRAME" => now = micros_from_ms(need(line.wall_ms, "wall_ms").map_err(at)?),
            "YOUR_TURN" => {
                write_line(&mut output, &Reply { t: "END", ..Reply::default() })?;
                output.flush().map_err(|e| e.to_string())?;
            }
            "POWER_ON" => {
                let name = need(line.scheduler, "scheduler").map_err(at)?;
                let setup = need(line.setup, "setup").map_err(at)?;
                let (settings, names) = setup.to_settings();
                let balancer = Scheduler::new(settings, line.salt.unwrap_or(0));
                instances.insert(name, Instance { balancer, names, setup });
            }
            "HALT" => drop(instances.remove(&need(line.scheduler, "scheduler").map_err(at)?)),
            _ => {
                let name = need(line.scheduler.take(), "scheduler").map_err(at)?;
                let i = instances
                    .get_mut(&name)
                    .ok_or_else(|| at(format!("no scheduler '{name}' has been started")))?;
                let Some(event) = i.event(line).map_err(at)? else { continue };
                let step = std::panic::AssertUnwindSafe(|| i.balancer.handle(now, event, &mut actions));
                if let Err(cause) = std::panic::catch_unwind(step) {
                    let messages = cause
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or(cause.downcast_ref::<&str>().copied())
                        .unwrap_or("the decision module panicked");
                    let fatal = Reply {
                        t: "FATAL",
                        scheduler: Some(&name),
                        messages: Some(messages),
                        ..Reply::default()
                    };
                    write_line(&mut output, &fatal)?;
                    write_line(&mut output, &Reply { t: "END", ..Reply::default() })?;
                    output.flush().map_err(|e| e.to_string())?;
                    return Err(at(format!("the decision module failed: {messages}")));
                }
                for action in actions.drain(..) {
                    write_line(&mut output, &reply(&action, &name, &i.names.endpoints))?;
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
