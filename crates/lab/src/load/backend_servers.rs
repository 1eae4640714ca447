//! Emulated backend servers: the emulator's model of a server, in real time and behind a socket.

use super::{JobProgress, RunningJob, Testbed};
use crate::scenario::{Fault, FaultKind};
use crate::sim::draw::{between, Needs};
use crate::sim::faults::{apply_step, endpoint_entry, Step};
use crate::sim::server::Admission;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use shorepath_scheduler::{AttemptStatus, Micros};
use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// The connection closed before the end of the response.
#[derive(Debug, thiserror::Error)]
#[error("the server process died")]
pub struct ConnectionBroken;

type BodyStream = Pin<Box<dyn futures_util::Stream<Item = Result<Frame<Bytes>, ConnectionBroken>> + Send>>;
/// A response body, complete or streamed.
pub type ResponseBody = Either<Full<Bytes>, StreamBody<BodyStream>>;
/// Sender of the frames of a streamed body.
pub type BodySender = UnboundedSender<Result<Frame<Bytes>, ConnectionBroken>>;

/// Returns a response with a complete body.
pub fn full_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response
}

/// Returns a response with a streamed body, which ends when the sender is dropped.
pub fn streaming_response() -> (BodySender, Response<ResponseBody>) {
    let (body, frames) = unbounded_channel();
    let frames: BodyStream =
        Box::pin(unfold(frames, |mut p| async move { p.recv().await.map(|part| (part, p)) }));
    (body, Response::new(Either::Right(StreamBody::new(frames))))
}

/// Binds the listeners of all servers.
pub async fn listen(testbed: &Rc<Testbed>) -> std::io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for _ in 0..testbed.scenario.servers.count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        testbed.addresses.borrow_mut().push(listener.local_addr()?);
        listeners.push(listener);
    }
    Ok(listeners)
}

/// Starts the servers.
pub fn start(testbed: &Rc<Testbed>, listeners: Vec<TcpListener>) {
    for (server, listener) in listeners.into_iter().enumerate() {
        spawn_local(accept(testbed.clone(), server, Some(listener)));
        spawn_local(run_server(testbed.clone(), server));
    }
}

/// Accepts connections while the server's process is up.
async fn accept(testbed: Rc<Testbed>, server: usize, mut listener: Option<TcpListener>) {
    let address = testbed.addresses.borrow()[server];
    let mut process_changes = testbed.process_changes[server].subscribe();
    loop {
        let is_down = testbed.servers.borrow()[server].down > 0;
        if is_down {
            listener = None;
        } else if listener.is_none() {
            listener = listen_again(address).ok();
        }
        let next = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => pending().await,
            }
        };
        tokio::select! {
            accepted = next => if let Ok((stream, _)) = accepted {
                spawn_local(serve_connection(testbed.clone(), server, stream));
            },
            changed = process_changes.changed() => if changed.is_err() { return },
        }
    }
}

fn listen_again(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

async fn serve_connection(testbed: Rc<Testbed>, server: usize, stream: TcpStream) {
    // With Nagle's algorithm, the start report would wait for the acknowledgement of the response head, 40 ms
    // and more.
    let _ = stream.set_nodelay(true);
    let mut process_changes = testbed.process_changes[server].subscribe();
    testbed.servers.borrow_mut()[server].connections += 1;
    let is_new = Rc::new(Cell::new(true));
    let (service_testbed, idle) =
        (testbed.clone(), Duration::from_micros(testbed.scenario.network.idle_timeout as u64));
    let last_used = Rc::new(Cell::new(tokio::time::Instant::now()));
    let (service_is_new, service_last_used) = (is_new.clone(), last_used.clone());
    let service = service_fn(move |request| {
        service_last_used.set(tokio::time::Instant::now());
        handle_request(service_testbed.clone(), server, request, service_is_new.replace(false))
    });
    let http_connection = hyper::server::conn::http1::Builder::new();
    let mut http_connection = std::pin::pin!(http_connection.serve_connection(TokioIo::new(stream), service));
    loop {
        tokio::select! {
            _ = http_connection.as_mut() => break,
            // A process that dies takes its connections with it; a start does not affect them.
            changed = process_changes.changed() => {
                if changed.is_err() || testbed.servers.borrow()[server].down > 0 {
                    return;
                }
            }
            () = sleep_until(last_used.get() + idle) => {
                if last_used.get().elapsed() >= idle && testbed.servers.borrow()[server].held() == 0 {
                    http_connection.as_mut().graceful_shutdown();
                    last_used.set(tokio::time::Instant::now());
                }
            }
        }
    }
    let s = &mut testbed.servers.borrow_mut()[server];
    s.connections = s.connections.saturating_sub(1);
}

/// Draws the delay of one message through the network, as the emulator does.
fn network_delay(testbed: &Testbed, same_zone: bool) -> Duration {
    let mut rng = testbed.network_rng.borrow_mut();
    let base = between(
        &mut rng,
        if same_zone {
            testbed.scenario.network.same_zone_latency
        } else {
            testbed.scenario.network.cross_zone_latency
        },
    );
    let jitter: f64 = if testbed.scenario.network.jitter > 0.0 { Exp1.sample(&mut *rng) } else { 0.0 };
    Duration::from_micros(base as u64 + (base as f64 * testbed.scenario.network.jitter * jitter) as u64)
}

async fn handle_request(
    testbed: Rc<Testbed>,
    server: usize,
    request: Request<Incoming>,
    is_new: bool,
) -> Result<Response<ResponseBody>, ConnectionBroken> {
    let header = request.headers().get("request-id").and_then(|v| v.to_str().ok()).map(str::to_string);
    let id = header.as_deref().and_then(|t| u64::from_str_radix(t, 16).ok());
    if request.into_body().collect().await.is_err() {
        return Err(ConnectionBroken); // an incomplete request does not run
    }
    let request_info = id.and_then(|id| testbed.requests.borrow().get(&id).copied());
    let (Some(id), Some(request_info)) = (id, request_info) else {
        return Ok(full_response(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    let zones = testbed.scenario.zones.len() as u32;
    let same_zone = request_info.node % zones == server as u32 % zones;
    testbed.checker.borrow_mut().sent(id, request_info.node, server as u32, testbed.now());
    testbed.tally.borrow_mut().sent(!same_zone, is_new);
    let delay =
        if is_new { network_delay(&testbed, same_zone) * 3 } else { network_delay(&testbed, same_zone) };
    sleep(delay).await;
    let work = request_info.work + if is_new { testbed.scenario.network.handshake as f64 } else { 0.0 };
    let (progress, mut progress_receiver) = unbounded_channel();
    let fails = testbed.servers.borrow()[server].failure_share();
    let fails = fails > 0.0 && testbed.failure_rng.borrow_mut().random::<f64>() < fails;
    let key = testbed.running_jobs.borrow_mut().insert(RunningJob { id, fails, progress });
    let fall = testbed.scenario.overload_limit();
    let now = testbed.now();
    let born = testbed.servers.borrow()[server].started_at;
    let knows_start = testbed.checker.borrow().knows_start(request_info.node, server as u32, born);
    let offer = testbed.servers.borrow_mut()[server].admit(now, key, (work, Needs::ONE), knows_start, fall);
    match offer {
        Admission::Accepted => advance_server(&testbed, server),
        Admission::Full => {
            testbed.running_jobs.borrow_mut().remove(key);
            testbed.checker.borrow_mut().ended(id, true);
            testbed.tally.borrow_mut().ended(AttemptStatus::Overloaded);
            sleep(network_delay(&testbed, same_zone)).await;
            let mut full = full_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            full.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
            return Ok(full);
        }
        Admission::Crashed(fell) => {
            testbed.checker.borrow_mut().cold_server_crashed(server as u32, fell, now);
            testbed.tally.borrow_mut().cold_crash();
            testbed.servers.borrow_mut()[server].down += 1;
            kill_server(&testbed, server);
            announce_change(&testbed, server);
            return Err(ConnectionBroken);
        }
    }
    let (body, response) = streaming_response();
    spawn_local(async move {
        let name = format!("s-{server}");
        let send_state = |state: &str, extra: &str| {
            let line = format!("{{\"id\":\"{id:x}\",\"from\":\"{name}\",\"state\":\"{state}\"{extra}}}\n");
            let _ = body.send(Ok(Frame::data(Bytes::from(line))));
        };
        while let Some(progress) = progress_receiver.recv().await {
            sleep(network_delay(&testbed, same_zone)).await;
            match progress {
                JobProgress::Started if testbed.scenario.servers.reports_starts => send_state("started", ""),
                JobProgress::Started => {}
                JobProgress::Done => return send_state("done", ",\"result\":\"done\""),
                JobProgress::Failed => return send_state("failed", ""),
            }
        }
        // The process died, and the job with it.
        let _ = body.send(Err(ConnectionBroken));
    });
    Ok(response)
}

/// Advances a server to the current time and reports the jobs that started or ended.
fn advance_server(testbed: &Rc<Testbed>, server: usize) {
    let now = testbed.now();
    let (done, started) = testbed.servers.borrow_mut()[server].step(now);
    for key in done {
        if let Some(job) = testbed.running_jobs.borrow_mut().remove(key) {
            let (progress, status) = if job.fails {
                (JobProgress::Failed, AttemptStatus::Error)
            } else {
                (JobProgress::Done, AttemptStatus::Ok)
            };
            let _ = job.progress.send(progress);
            testbed.checker.borrow_mut().ended(job.id, false);
            testbed.tally.borrow_mut().ended(status);
        }
    }
    for key in started {
        if let Some(job) = testbed.running_jobs.borrow().get(key) {
            let _ = job.progress.send(JobProgress::Started);
            testbed.checker.borrow_mut().job_started(job.id, server as u32, now);
        }
    }
    testbed.rescheduled[server].notify_one();
}

/// Advances a server whenever one of its jobs is due.
async fn run_server(testbed: Rc<Testbed>, server: usize) {
    loop {
        let (now, s) = (testbed.now(), &testbed.rescheduled[server]);
        let next = testbed.servers.borrow()[server].next_finish(now);
        let cold = testbed.servers.borrow()[server].is_cold(now);
        // The rate of a cold server grows while it waits.
        let next = if cold { Some(next.unwrap_or(Micros::MAX).min(now + 100_000)) } else { next };
        let due = async {
            match next {
                Some(at) => sleep_until(testbed.instant(at)).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = due => advance_server(&testbed, server),
            () = s.notified() => {}
        }
    }
}

fn kill_server(testbed: &Rc<Testbed>, server: usize) {
    let lost = testbed.servers.borrow_mut()[server].drop_all();
    for (key, _) in lost {
        if let Some(job) = testbed.running_jobs.borrow_mut().remove(key) {
            testbed.checker.borrow_mut().ended(job.id, false);
            testbed.tally.borrow_mut().ended(AttemptStatus::Reset);
        }
    }
    testbed.process_changes[server].send_modify(|n| *n += 1);
}

fn announce_change(testbed: &Rc<Testbed>, server: usize) {
    let member = endpoint_entry(&testbed.scenario, server as u32, &testbed.servers.borrow()[server]);
    testbed.list_changes.send_modify(|all| all.push(member));
}

/// Applies a step of a fault to the affected servers.
pub fn apply_fault(testbed: &Rc<Testbed>, f: &Fault, index: u32, step: Step, affected: &[u32]) {
    let now = testbed.now();
    if f.kind == FaultKind::Silence && step == Step::Begins {
        testbed.silent_until.set(testbed.silent_until.get().max(now + f.length));
    }
    for server in affected.iter().map(|s| *s as usize) {
        let effects = {
            let s = &mut testbed.servers.borrow_mut()[server];
            s.advance(now);
            apply_step(s, f, index, step, now)
        };
        if effects.dies.is_some() {
            kill_server(testbed, server);
        }
        if effects.restarts {
            testbed.process_changes[server].send_modify(|n| *n += 1);
        }
        if effects.announce {
            announce_change(testbed, server);
        }
        advance_server(testbed, server);
    }
}
