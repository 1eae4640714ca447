//! Throughput of one backend server with unlimited concurrency, in a closed loop of clients: sent to it
//! directly, and through a node. Guards against a limit that the node itself imposes.

use super::clients::{send_request, Clients};
use super::{backend_servers, nodes, LoadError, Testbed};
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

/// One server with enough slots for all jobs of 50 ms.
const SCENARIO: &str = "(scenario (class job (work 50 ms) (shape constant) (wanted 200 ms) (give-up 5 s))
    (tenant all (quota 100000))
    (servers (count 1) (queue 0) (connections 4096) (kind any (cores 1024)))
    (network (near 0 ms) (jitter 0)))";

/// Throughput in jobs per second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Throughput {
    /// Jobs per second without a node.
    pub direct: f64,
    /// Jobs per second through the node.
    #[serde(rename = "through")]
    pub via_node: f64,
    /// Fraction of the requests that the node rejected or failed.
    #[serde(rename = "denied")]
    pub rejected: f64,
}

/// Measures with this many clients for this long, first directly and then through a node.
///
/// # Errors
/// The node did not start, or exited.
pub fn measure(program: &Path, clients: u32, length: Duration) -> Result<Throughput, LoadError> {
    let scenario =
        scenario::read("lone", SCENARIO).map_err(|e| LoadError::TooLarge(e.to_string(), String::new()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let testbed = Testbed::new(&scenario);
        let listeners = backend_servers::listen(&testbed).await?;
        let mut nodes = nodes::start(&testbed, program).await?;
        testbed.clock_start.set(Instant::now());
        backend_servers::start(&testbed, listeners);
        let server = testbed.addresses.borrow()[0];
        let (direct, _) = closed_loop(&testbed, server, clients, length).await;
        let (via_node, rejected) = closed_loop(&testbed, nodes[0].address, clients, length).await;
        if let Some(node) = nodes.pop() {
            node.stop().await?;
        }
        Ok(Throughput { direct, via_node, rejected })
    })
}

/// Runs clients that send their requests one after another. Returns the jobs served per second and the
/// fraction of requests not served.
async fn closed_loop(
    testbed: &Rc<Testbed>,
    address: SocketAddr,
    clients: u32,
    length: Duration,
) -> (f64, f64) {
    let pool = Clients::new(testbed, &[address]);
    let start = Instant::now();
    let each = (0..clients).map(|_| async {
        let (mut served, mut rejected) = (0u64, 0u64);
        let job = Job { class: 0, work: 50_000.0, node: 0, needs: Needs::ONE, hint: None };
        while start.elapsed() < length {
            let due = testbed.now() - crate::sim::START;
            match send_request(&pool, &job, (0, 0, false), due, 5_000_000).await.0 {
                Answer::Served => served += 1,
                _ => rejected += 1,
            }
        }
        (served, rejected)
    });
    let all = join_all(each).await;
    let (served, rejected) = all.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let seconds = start.elapsed().as_secs_f64();
    (served as f64 / seconds, rejected as f64 / (served + rejected).max(1) as f64)
}
