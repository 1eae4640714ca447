//! The nodes: processes of the real program, with configurations made from the scenario.

use super::{discovery, LoadError, Testbed};
use crate::sim::draw::{stream, Purpose};
use crate::sim::faults::endpoint_entry;
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

/// Time within which a node must serve after its start, and exit after it is killed.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A running node, which is killed when this is dropped.
#[derive(Debug)]
pub struct Node {
    child: Child,
    /// Address for clients.
    pub address: SocketAddr,
    _dir: TempDir,
}

/// Returns a server's entry in the endpoint list.
pub fn entry(testbed: &Testbed, m: &Endpoint) -> Value {
    let address = testbed.addresses.borrow()[m.id.0 as usize];
    let phase = match m.state {
        EndpointState::Live => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "left",
    };
    // Start times are sent as Unix time, since the clock of the models starts with the run.
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let age_ms = (testbed.now() - m.started_at).max(0) / 1_000;
    let started = if m.started_at > 0 { unix.as_millis() as i64 - age_ms } else { 0 };
    json!({"id": format!("s-{}", m.id.0), "host_port": address.to_string(),
           "locality": testbed.scenario.zones[m.zone.0 as usize], "flavor": testbed.scenario.servers.kinds[m.kind.0 as usize].name,
           "cell": 0, "phase": phase, "size": m.capacity, "up_since_ms": started})
}

/// Returns the entries of all servers in their current state.
pub fn entries(testbed: &Testbed) -> Vec<Value> {
    let servers = testbed.servers.borrow();
    servers
        .iter()
        .enumerate()
        .map(|(k, s)| entry(testbed, &endpoint_entry(&testbed.scenario, k as u32, s)))
        .collect()
}

/// Returns the configuration of a node.
fn config(testbed: &Testbed, node: u32, discovery: SocketAddr) -> Value {
    let scenario = &testbed.scenario;
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
    let classes: Vec<Value> = scenario.classes.iter().map(class).collect();
    let stretch: Vec<f64> = scenario.classes.iter().map(|c| c.work_factor).collect();
    let project =
        |t: &crate::scenario::Tenant| json!({"name": t.name, "portion": t.share, "quota_rps": t.quota});
    let seed: u64 = stream(scenario.seed, Purpose::Node(node)).random();
    json!({
        "name": format!("n{node}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": true, "members": entries(testbed)},
        "settings": {
            "allowed": {"cancel": true, "conn_idle_ms": ms(scenario.network.idle_timeout),
                        "connect_timeout_ms": ms(scenario.network.connect_timeout),
                        "max_retry_after_ms": ms(scenario.rules.max_retry_after),
                        "retry_after": scenario.rules.max_retry_after > 0, "try_limit": scenario.rules.max_attempts},
            "azs": scenario.zones, "classes": classes, "costs": {"cross_zone": scenario.rules.cross_zone_cost},
            "discovery": "pushed",
            "family_info": {"class_kind": vec![-1; stretch.len()], "class_stretch": stretch,
                            "tells_start": scenario.servers.reports_starts},
            "granularity_ms": 1.0,
            "kinds": scenario.servers.kinds.iter().map(|k| &k.name).collect::<Vec<_>>(),
            "over_share_worth": scenario.rules.over_share_fraction,
            "projects": scenario.tenants.iter().map(project).collect::<Vec<_>>(),
            "rank": node, "replicas_of_me": scenario.nodes,
            "rules": {"cold_ms": ms(scenario.servers.slow_start_duration), "cold_share": scenario.servers.slow_start_min_share,
                      "drain_grace_ms": ms(scenario.rules.drain_grace), "fall_ms": ms(scenario.servers.overload_window),
                      "tip_multiple": scenario.servers.overload_multiple},
            "value_by": if scenario.rules.weight_by_work { "work" } else { "request" }, "weights": "nominal", "zone": scenario.zones[node as usize % scenario.zones.len()],
        }
    })
}

/// Starts all nodes and waits until they serve.
pub async fn start(testbed: &Rc<Testbed>, program: &Path) -> Result<Vec<Node>, LoadError> {
    let mut nodes = Vec::new();
    for node in 0..testbed.scenario.nodes {
        let fail = |reason: String| LoadError::Node { program: program.to_path_buf(), reason };
        let dir = tempfile::Builder::new().prefix("lab").tempdir()?;
        let path = dir.path().join("config.json");
        let discovery = discovery::listen(testbed, node).await?;
        std::fs::write(&path, config(testbed, node, discovery).to_string())?;
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
        let log = child.stderr.take().ok_or_else(|| fail("has no standard error stream".into()))?;
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
        let address = timeout(START_STOP_TIMEOUT, ready).await.ok().flatten();
        let address =
            address.ok_or_else(|| fail(format!("did not start to serve; its last log line: {last}")))?;
        // Reads the rest of the log, since the node would drop lines if nothing did.
        tokio::task::spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        nodes.push(Node { child, address, _dir: dir });
    }
    Ok(nodes)
}

impl Node {
    /// Kills the node, which has answered all requests by now. Returns an error if it has exited before.
    pub async fn stop(mut self) -> Result<(), LoadError> {
        let fail = |reason: String| LoadError::Node { program: "a node".into(), reason };
        if let Some(status) = self.child.try_wait()? {
            return Err(fail(format!("exited unexpectedly: {status}")));
        }
        self.child.start_kill()?;
        timeout(START_STOP_TIMEOUT, self.child.wait())
            .await
            .map_err(|_| fail("did not exit after it was killed".into()))??;
        Ok(())
    }
}
