//! What one node makes of one backend server that answers any number of jobs: a closed loop of clients, once straight
//! to the server and once through the node. Guards against a ceiling that the node itself puts over its servers.

use super::clients::{attempt, Clients};
use super::{nodes, stand, LoadError, Rig};
use crate::rules::Answer;
use crate::scenario;
use crate::sim::draw::{Job, Needs};
use futures_util::future::join_all;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The server takes so many jobs at once, 50 ms each.
const SERVER: &str = "(scenario (class job (work 50 ms) (shape constant) (wanted 200 ms) (give-up 5 s))
    (tenant all (quota 100000))
    (servers (count 1) (queue 0) (connections 4096) (kind any (cores 1024)))
    (network (near 0 ms) (jitter 0)))";

/// Jobs a second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Lone {
    /// Served straight by the server.
    pub direct: f64,
    /// Served through the node.
    pub through: f64,
    /// Refused or failed by the node, of all that it was asked.
    pub denied: f64,
}

/// Measure with so many clients, each way for so long.
///
/// # Errors
/// The node does not start.
pub fn measure(program: &Path, clients: u32, length: Duration) -> Result<Lone, LoadError> {
    let sc = scenario::read("lone", SERVER).map_err(|e| LoadError::TooLarge(e.to_string(), String::new()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let rig = Rig::new(&sc);
        let ends = stand::listen(&rig).await?;
        let mut nodes = nodes::start(&rig, program).await?;
        rig.origin.set(Instant::now());
        stand::begin(&rig, ends);
        let server = rig.addresses.borrow()[0];
        let (direct, _) = closed(&rig, server, clients, length).await;
        let (through, denied) = closed(&rig, nodes[0].address, clients, length).await;
        if let Some(node) = nodes.pop() {
            node.stop().await?;
        }
        Ok(Lone { direct, through, denied })
    })
}

/// Clients that each send one request after the other: served a second, and the part that was not.
async fn closed(rig: &Rc<Rig>, address: SocketAddr, clients: u32, length: Duration) -> (f64, f64) {
    let own = Clients::new(rig, &[address]);
    let start = Instant::now();
    let each = (0..clients).map(|_| async {
        let (mut served, mut denied) = (0u64, 0u64);
        let job = Job { class: 0, work: 50_000.0, node: 0, needs: Needs::ONE, hint: None };
        while start.elapsed() < length {
            let meant = rig.now() - crate::sim::START;
            match attempt(&own, &job, (0, 0, false), meant, 5_000_000).await.0 {
                Answer::Served => served += 1,
                _ => denied += 1,
            }
        }
        (served, denied)
    });
    let all = join_all(each).await;
    let (served, denied) = all.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let seconds = start.elapsed().as_secs_f64();
    (served as f64 / seconds, denied as f64 / (served + denied).max(1) as f64)
}
