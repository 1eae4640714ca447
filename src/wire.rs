//! JSON lines to events and actions to JSON lines. Nothing is decided here.

use crate::api::*;
use crate::settings::{mark, micros, Catalogue, Names, Setup};
use crate::Balancer;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::{BufRead, Write};

/// One incoming line; which fields count depends on `t`.
#[derive(Deserialize)]
struct Line {
    t: String,
    scheduler: Option<String>,
    wall_ms: Option<f64>,
    salt: Option<u64>,
    setup: Option<Setup>,
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
    words: Option<&'a str>,
}

struct Instance {
    balancer: Balancer,
    names: Catalogue,
    setup: Setup,
}

fn ms(t: Micros) -> f64 {
    t as f64 / 1000.0
}

fn status(number: i64) -> Status {
    match number {
        0 => Status::Ok,
        8 => Status::Full,
        4 => Status::Timeout,
        14 => Status::ConnectFailed,
        10 => Status::Reset,
        1 => Status::Cancelled,
        9 => Status::Moot,
        _ => Status::Error,
    }
}

fn need<T>(field: Option<T>, name: &str) -> Result<T, String> {
    field.ok_or_else(|| format!("field '{name}' is missing"))
}

impl Instance {
    fn members(&mut self, items: Vec<Item>) -> Result<Vec<Member>, String> {
        let mut list = Vec::with_capacity(items.len());
        for i in items {
            list.push(Member {
                worker: WorkerId(self.names.workers.number(&i.worker)),
                mark: mark(&i.worker),
                kind: KindId(self.names.kinds.number(&i.sku)),
                zone: ZoneId(self.names.zones.number(&i.region_part)),
                cell: i.group as u32,
                scale: i.scale,
                standing: match i.condition.as_str() {
                    "live" => Standing::Live,
                    "quiescing" => Standing::Draining,
                    "dead" => Standing::Gone,
                    other => return Err(format!("unknown condition '{other}'")),
                },
                started: micros(i.born_ms),
            });
        }
        Ok(list)
    }

    /// The event that a line stands for; `None` for what the module has no use for.
    fn event(&mut self, line: Line) -> Result<Option<Event>, String> {
        let id = || need(line.xid, "xid").map(RequestId);
        let attempt = || need(line.seq_no, "seq_no");
        Ok(Some(match line.t.as_str() {
            "SYNC" => {
                let form = need(line.form, "form")?;
                if form == "broken" {
                    return Ok(Some(Event::RosterFailed));
                }
                let list = self.members(need(line.items, "items")?)?;
                match form.as_str() {
                    "whole" | "stale_copy" => Event::Roster(list),
                    "patch" => Event::RosterChange(list),
                    other => return Err(format!("unknown form '{other}'")),
                }
            }
            "REQUEST" => {
                let service = need(line.service.as_deref(), "service")?;
                let class = self.names.classes.get(service);
                let tenant = line.user_group.as_ref().and_then(|v| v.as_str());
                Event::Request(Request {
                    id: id()?,
                    class: ClassId(class.ok_or_else(|| format!("unknown service '{service}'"))? as usize),
                    tenant: tenant.and_then(|n| self.names.tenants.get(n)).map(|n| TenantId(n as usize)),
                    key: line.key.as_deref().map(|k| KeyId(mark(k))),
                    time_left: micros(need(line.time_left_ms, "time_left_ms")?),
                    hint: line.hint_ms.filter(|h| *h > 0.0).map(micros),
                    slots: line.needs.unwrap_or(1.0).max(1.0) as u32,
                    repeat: line.resent,
                    entry: Entry::New,
                    guest: false,
                })
            }
            "ACCEPTED" => Event::StreamBegan { id: id()?, attempt: attempt()? },
            "NOTE" => match need(line.kind, "kind")? {
                1 => Event::Started { id: id()?, attempt: attempt()? },
                2 => Event::Progress { id: id()?, attempt: attempt()?, done: line.amount.unwrap_or(0.0) },
                _ => return Ok(None),
            },
            "ATTEMPT_END" => Event::Outcome {
                id: id()?,
                attempt: attempt()?,
                status: status(need(line.status, "status")?),
                settled: line.settled,
            },
            "VANISHED" => Event::Gone(id()?),
            "ELAPSED" => Event::Wake,
            "PONG" => Event::Probed {
                worker: WorkerId(self.names.workers.number(&need(line.worker, "worker")?)),
                status: status(need(line.status, "status")?),
                report: self.setup.report_row(line.report.as_deref().unwrap_or_default()),
            },
            // Instances have nothing to tell each other.
            "DATAGRAM" => return Ok(None),
            other => return Err(format!("unknown message '{other}'")),
        }))
    }
}

fn reply<'a>(action: &Action, name: &'a str, workers: &'a Names) -> Reply<'a> {
    let worker = |w: &WorkerId| workers.name(w.0);
    let base = Reply { scheduler: Some(name), ..Reply::default() };
    match action {
        Action::Send { id, worker: w } => Reply { t: "TRY", xid: Some(id.0), worker: worker(w), ..base },
        Action::Refuse { id, retry_after } => {
            Reply { t: "REFUSE", xid: Some(id.0), backoff_ms: retry_after.map(ms), ..base }
        }
        Action::Bar { id, .. } => Reply { t: "REFUSE", xid: Some(id.0), ..base },
        Action::Fail { id } => Reply { t: "FAIL", xid: Some(id.0), ..base },
        Action::Cancel { id, attempt } => {
            Reply { t: "REVOKE", xid: Some(id.0), seq_no: Some(*attempt), ..base }
        }
        Action::Wake { after } => {
            Reply { t: "AFTER", after_ms: Some(ms((*after).max(0))), cookie: Some(0), ..base }
        }
        Action::Probe { worker: w } => Reply { t: "INSPECT", worker: worker(w), ..base },
        Action::CloseIdle { worker: w } => Reply { t: "HANG_UP", worker: worker(w), ..base },
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
            "FRAME" => now = micros(need(line.wall_ms, "wall_ms").map_err(at)?),
            "YOUR_TURN" => {
                write_line(&mut output, &Reply { t: "END", ..Reply::default() })?;
                output.flush().map_err(|e| e.to_string())?;
            }
            "POWER_ON" => {
                let name = need(line.scheduler, "scheduler").map_err(at)?;
                let setup = need(line.setup, "setup").map_err(at)?;
                let (settings, names) = setup.read();
                let balancer = Balancer::new(settings, line.salt.unwrap_or(0));
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
                    let words = cause
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or(cause.downcast_ref::<&str>().copied())
                        .unwrap_or("the decision module panicked");
                    let fatal =
                        Reply { t: "FATAL", scheduler: Some(&name), words: Some(words), ..Reply::default() };
                    write_line(&mut output, &fatal)?;
                    write_line(&mut output, &Reply { t: "END", ..Reply::default() })?;
                    output.flush().map_err(|e| e.to_string())?;
                    return Err(at(format!("the decision module failed: {words}")));
                }
                for action in actions.drain(..) {
                    write_line(&mut output, &reply(&action, &name, &i.names.workers))?;
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
