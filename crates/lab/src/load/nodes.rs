//! The nodes: the real program, one process each, by a configuration made from the scenario.

use super::{discovery, LoadError, Rig};
use crate::sim::draw::{stream, Purpose};
use crate::sim::faults::member;
use rand::RngExt;
use serde_json::{json, Value};
use shorepath_scheduler::{DedupScope, Endpoint, EndpointState, Idempotency};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Within this time a node serves, or is gone after it was told to end.
const PATIENCE: Duration = Duration::from_secs(20);

/// A node that serves. It ends with this.
#[derive(Debug)]
pub struct Node {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    _dir: TempDir,
}

/// Discovery's entry for a server.
pub fn entry(rig: &Rig, m: &Endpoint) -> Value {
    let address = rig.addresses.borrow()[m.id.0 as usize];
    let phase = match m.state {
        EndpointState::Live => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "left",
    };
    // The models' clock began with the rig: a start is told by the wall's clock.
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let ago = (rig.now() - m.started_at).max(0) / 1_000;
    let started = if m.started_at > 0 { unix.as_millis() as i64 - ago } else { 0 };
    json!({"id": format!("s-{}", m.id.0), "host_port": address.to_string(),
           "locality": rig.sc.zones[m.zone.0 as usize], "flavor": rig.sc.servers.kinds[m.kind.0 as usize].name,
           "cell": 0, "phase": phase, "size": m.capacity, "up_since_ms": started})
}

/// All entries as they stand.
pub fn entries(rig: &Rig) -> Vec<Value> {
    let servers = rig.servers.borrow();
    servers.iter().enumerate().map(|(k, s)| entry(rig, &member(&rig.sc, k as u32, s))).collect()
}

/// The configuration of a node, as the platform gives it.
fn config(rig: &Rig, node: u32, discovery: SocketAddr) -> Value {
    let sc = &rig.sc;
    let ms = |t: i64| t as f64 / 1000.0;
    let class = |c: &crate::scenario::Class| {
        let (semantics, group, window) = match c.idempotency {
            Idempotency::NonIdempotent => ("single_shot", "all", 0),
            Idempotency::Idempotent => ("free", "all", 0),
            Idempotency::Keyed { scope: DedupScope::Zone, window: memory } => ("guarded", "zone", memory),
            Idempotency::Keyed { window: memory, .. } => ("guarded", "all", memory),
        };
        json!({"name": c.name, "semantics": semantics, "group": group, "dedup_window_ms": ms(window), "target_ms": ms(c.latency_objective), "deadline_ms": ms(c.deadline),
               "late_worth": c.late_fraction, "worth": c.priority_weight})
    };
    let classes: Vec<Value> = sc.classes.iter().map(class).collect();
    let stretch: Vec<f64> = sc.classes.iter().map(|c| c.work_factor).collect();
    let project =
        |t: &crate::scenario::Tenant| json!({"name": t.name, "portion": t.share, "quota_rps": t.quota});
    let seed: u64 = stream(sc.seed, Purpose::Node(node)).random();
    json!({
        "name": format!("n{node}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": true, "members": entries(rig)},
        "settings": {
            "allowed": {"cancel": true, "conn_idle_ms": ms(sc.network.idle_timeout),
                        "connect_timeout_ms": ms(sc.network.connect_timeout),
                        "max_retry_after_ms": ms(sc.rules.max_retry_after),
                        "retry_after": sc.rules.max_retry_after > 0, "try_limit": sc.rules.max_attempts},
            "azs": sc.zones, "classes": classes, "costs": {"cross_zone": sc.rules.cross_zone_cost},
            "discovery": "pushed",
            "family_info": {"class_kind": vec![-1; stretch.len()], "class_stretch": stretch,
                            "tells_start": sc.servers.reports_starts},
            "granularity_ms": 1.0,
            "kinds": sc.servers.kinds.iter().map(|k| &k.name).collect::<Vec<_>>(),
            "over_share_worth": sc.rules.over_share_fraction,
            "projects": sc.tenants.iter().map(project).collect::<Vec<_>>(),
            "rank": node, "replicas_of_me": sc.nodes,
            "rules": {"cold_ms": ms(sc.servers.slow_start_duration), "cold_share": sc.servers.slow_start_min_share,
                      "drain_grace_ms": ms(sc.rules.drain_grace), "fall_ms": ms(sc.servers.overload_window),
                      "tip_multiple": sc.servers.overload_multiple},
            "value_by": if sc.rules.weight_by_work { "work" } else { "request" }, "weights": "nominal", "zone": sc.zones[node as usize % sc.zones.len()],
        }
    })
}

/// Start all nodes and wait until they serve.
pub async fn start(rig: &Rc<Rig>, program: &Path) -> Result<Vec<Node>, LoadError> {
    let mut nodes = Vec::new();
    for node in 0..rig.sc.nodes {
        let fail = |why: String| LoadError::Node { program: program.to_path_buf(), why };
        let dir = tempfile::Builder::new().prefix("lab").tempdir()?;
        let path = dir.path().join("config.json");
        let discovery = discovery::listen(rig, node).await?;
        std::fs::write(&path, config(rig, node, discovery).to_string())?;
        let mut child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&path)
            .env("TMPDIR", dir.path())
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| fail(e.to_string()))?;
        let log = child.stderr.take().ok_or_else(|| fail("has no log".into()))?;
        let mut lines = BufReader::new(log).lines();
        let mut last = String::new();
        let ready = async {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(at) = line.rsplit_once("serves on ").and_then(|(_, a)| a.trim().parse().ok()) {
                    return Some(at);
                }
                last = line;
            }
            None
        };
        let address = timeout(PATIENCE, ready).await.ok().flatten();
        let address = address.ok_or_else(|| fail(format!("does not serve: {last}")))?;
        // Its log is read on, or it would drop lines and nobody would know.
        tokio::task::spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        nodes.push(Node { child, address, _dir: dir });
    }
    Ok(nodes)
}

impl Node {
    /// Kill it: all that it took is answered by now. One that has ended before is a failure.
    pub async fn stop(mut self) -> Result<(), LoadError> {
        let fail = |why: String| LoadError::Node { program: "a node".into(), why };
        if let Some(status) = self.child.try_wait()? {
            return Err(fail(format!("ended by itself: {status}")));
        }
        self.child.start_kill()?;
        timeout(PATIENCE, self.child.wait()).await.map_err(|_| fail("does not end".into()))??;
        Ok(())
    }
}
