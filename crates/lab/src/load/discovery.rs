//! A stand-in for discovery: the list, and a watch whose news comes as late as the scenario says.

use super::nodes::{entries, entry};
use super::stand::{streamed, whole, Answer, Feed};
use super::Rig;
use crate::sim::draw::{between, stream, Purpose};
use crate::sim::faults::member;
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

/// A watch that has nothing to say says an empty line this often.
const BEAT: Duration = Duration::from_secs(2);

/// Serve the list to one node, on an address of its own: who was told what must be known.
pub async fn listen(rig: &Rc<Rig>, node: u32) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let rig = rig.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let rig = rig.clone();
            let _ = stream.set_nodelay(true);
            spawn_local(async move {
                let service = service_fn(move |request| answer(rig.clone(), request, node));
                let served = hyper::server::conn::http1::Builder::new();
                // A node that goes away ends it, which is no concern of anyone.
                let _ = served.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(address)
}

fn line(revision: usize, complete: bool, members: &[Value]) -> Bytes {
    Bytes::from(format!("{}\n", json!({"revision": revision, "complete": complete, "members": members})))
}

async fn answer(rig: Rc<Rig>, request: Request<Incoming>, node: u32) -> Result<Response<Answer>, Infallible> {
    let known = rig.news.borrow().len();
    let list = line(known + 1, true, &entries(&rig));
    for (server, s) in rig.servers.borrow().iter().enumerate() {
        let m = member(&rig.sc, server as u32, s);
        rig.checker.borrow_mut().told(node, m.id.0, m.state == EndpointState::Live, m.started_at, rig.now());
    }
    if !request.uri().query().unwrap_or("").contains("watch=1") {
        return Ok(whole(StatusCode::OK, list));
    }
    let (feed, response) = streamed();
    let _ = feed.send(Ok(Frame::data(list)));
    spawn_local(watch(rig, node, known, feed));
    Ok(response)
}

/// Tell one node of each change, each in its own time, but in order.
async fn watch(rig: Rc<Rig>, node: u32, mut seen: usize, feed: Feed) {
    let mut rng = stream(rig.sc.seed ^ u64::from(node), Purpose::Discovery);
    let mut changes = rig.news.subscribe();
    let mut due: VecDeque<(Micros, Endpoint)> = VecDeque::new();
    let mut last = 0;
    // What waits to be told must not put the beat off.
    let mut beat = tokio::time::interval(BEAT);
    while !feed.is_closed() {
        for member in rig.news.borrow().iter().skip(seen).cloned() {
            seen += 1;
            let at =
                (rig.now() + between(&mut rng, rig.sc.discovery_delay)).max(rig.silent_until.get()).max(last);
            last = at;
            due.push_back((at, member));
        }
        let next = due.front().map(|d| rig.moment(d.0));
        tokio::select! {
            () = async { sleep_until(next.unwrap_or(rig.origin.get())).await }, if next.is_some() => {
                let Some((_, member)) = due.pop_front() else { continue };
                let live = member.state == EndpointState::Live;
                let told = line(seen - due.len() + 1, false, &[entry(&rig, &member)]);
                // A watch that has ended tells nobody.
                if feed.is_closed() || feed.send(Ok(Frame::data(told))).is_err() {
                    return;
                }
                rig.checker.borrow_mut().told(node, member.id.0, live, member.started_at, rig.now());
            }
            changed = changes.changed() => if changed.is_err() { return },
            _ = beat.tick() => {
                let _ = feed.send(Ok(Frame::data(Bytes::from_static(b"\n"))));
            }
        }
    }
}
