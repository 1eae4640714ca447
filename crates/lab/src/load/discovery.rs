//! An emulated discovery service: the endpoint list, and a watch whose changes are delayed as in the
//! scenario.

use super::backend_servers::{full_response, streaming_response, BodySender, ResponseBody};
use super::nodes::{entries, entry};
use super::Testbed;
use crate::sim::draw::{between, stream, Purpose};
use crate::sim::faults::endpoint_entry;
use hyper::body::{Bytes, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use shorepath_scheduler::{Endpoint, EndpointState, Micros};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// Interval at which a watch sends an empty line.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Serves the list to one node, at an address of its own, so that the lab knows what each node has received.
pub async fn listen(testbed: &Rc<Testbed>, node: u32) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let testbed = testbed.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let testbed = testbed.clone();
            let _ = stream.set_nodelay(true);
            spawn_local(async move {
                let service = service_fn(move |request| respond(testbed.clone(), request, node));
                let served = hyper::server::conn::http1::Builder::new();
                // An error means that the node closed the connection.
                let _ = served.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(address)
}

fn line(revision: usize, complete: bool, members: &[Value]) -> Bytes {
    Bytes::from(format!("{}\n", json!({"revision": revision, "complete": complete, "members": members})))
}

async fn respond(
    testbed: Rc<Testbed>,
    request: Request<Incoming>,
    node: u32,
) -> Result<Response<ResponseBody>, Infallible> {
    let change_count = testbed.list_changes.borrow().len();
    let list = line(change_count + 1, true, &entries(&testbed));
    for (server, s) in testbed.servers.borrow().iter().enumerate() {
        let m = endpoint_entry(&testbed.scenario, server as u32, s);
        testbed.checker.borrow_mut().endpoint_reported(
            node,
            m.id.0,
            m.state == EndpointState::Live,
            m.started_at,
            testbed.now(),
        );
    }
    if !request.uri().query().unwrap_or("").contains("watch=1") {
        return Ok(full_response(StatusCode::OK, list));
    }
    let (body, response) = streaming_response();
    let _ = body.send(Ok(Frame::data(list)));
    spawn_local(stream_changes(testbed, node, change_count, body));
    Ok(response)
}

/// Sends each change to one node in order, each with its own delay.
async fn stream_changes(testbed: Rc<Testbed>, node: u32, mut sent_changes: usize, body: BodySender) {
    let mut rng = stream(testbed.scenario.seed ^ u64::from(node), Purpose::Discovery);
    let mut changes = testbed.list_changes.subscribe();
    let mut due: VecDeque<(Micros, Endpoint)> = VecDeque::new();
    let mut last = 0;
    // An interval, since pending changes must not delay it.
    let mut keepalive = tokio::time::interval(KEEPALIVE_INTERVAL);
    while !body.is_closed() {
        for member in testbed.list_changes.borrow().iter().skip(sent_changes).cloned() {
            sent_changes += 1;
            let at = (testbed.now() + between(&mut rng, testbed.scenario.discovery_delay))
                .max(testbed.silent_until.get())
                .max(last);
            last = at;
            due.push_back((at, member));
        }
        let next = due.front().map(|d| testbed.instant(d.0));
        tokio::select! {
            () = async { sleep_until(next.unwrap_or(testbed.clock_start.get())).await }, if next.is_some() => {
                let Some((_, member)) = due.pop_front() else { continue };
                let live = member.state == EndpointState::Live;
                let update = line(sent_changes - due.len() + 1, false, &[entry(&testbed, &member)]);
                // The node has closed the watch.
                if body.is_closed() || body.send(Ok(Frame::data(update))).is_err() {
                    return;
                }
                testbed.checker.borrow_mut().endpoint_reported(node, member.id.0, live, member.started_at, testbed.now());
            }
            changed = changes.changed() => if changed.is_err() { return },
            _ = keepalive.tick() => {
                let _ = body.send(Ok(Frame::data(Bytes::from_static(b"\n"))));
            }
        }
    }
}
