//! The clients: an open loop over HTTP/1.1, with one connection per pending request.

use super::{RequestInfo, Testbed};
use crate::clients::{after_answer, NextStep, Quota};
use crate::rules::Answer;
use crate::sim::draw::{Arrivals, Job, Jobs};
use crate::sim::tally::Outcome;
use crate::sim::START;
use futures_util::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use shorepath_scheduler::{Idempotency, Micros};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout};

type Connection = SendRequest<Full<Bytes>>;

/// State shared by the clients of all nodes.
pub(super) struct Clients {
    testbed: Rc<Testbed>,
    addresses: Vec<SocketAddr>,
    /// Idle connections to each node.
    idle: Vec<RefCell<Vec<Connection>>>,
    last_id: Cell<u64>,
}

impl Clients {
    /// Creates the clients of the nodes at these addresses.
    pub(super) fn new(testbed: &Rc<Testbed>, addresses: &[SocketAddr]) -> Rc<Clients> {
        Rc::new(Clients {
            testbed: testbed.clone(),
            addresses: addresses.to_vec(),
            idle: addresses.iter().map(|_| RefCell::default()).collect(),
            last_id: Cell::new(0),
        })
    }
}

/// Sends all requests of the scenario and waits for their outcomes.
pub async fn send_all(testbed: &Rc<Testbed>, addresses: &[SocketAddr]) {
    let clients = Clients::new(testbed, addresses);
    let tenants =
        (0..testbed.scenario.tenants.len()).map(|tenant| send_tenant_requests(clients.clone(), tenant));
    join_all(tenants).await;
}

async fn send_tenant_requests(clients: Rc<Clients>, tenant: usize) {
    let testbed = clients.testbed.clone();
    let (mut arrivals, mut jobs) =
        (Arrivals::new(&testbed.scenario, tenant), Jobs::new(&testbed.scenario, tenant));
    let mut bursts: Vec<_> = testbed.scenario.bursts.iter().filter(|b| b.tenant == tenant).cloned().collect();
    bursts.sort_by_key(|b| b.at);
    let mut bursts = bursts.into_iter().peekable();
    let mut quota = Quota::new(testbed.scenario.tenants[tenant].quota, 0);
    let mut pending_requests: Vec<JoinHandle<()>> = Vec::new();
    let mut next_arrival = arrivals.next_time();
    loop {
        let (at, count) = match bursts.peek() {
            Some(b) if b.at <= next_arrival => (b.at, b.count),
            _ => (next_arrival, 1),
        };
        if at >= testbed.scenario.length {
            break;
        }
        if bursts.next_if(|b| b.at == at && b.at <= next_arrival).is_none() {
            next_arrival = arrivals.next_time();
        }
        sleep_until(testbed.instant(START + at)).await;
        for _ in 0..count {
            let job = jobs.next_job(at);
            let excess = quota.exceeded(at);
            let labels = (tenant as u32, job.class as u32, excess);
            testbed.tally.borrow_mut().asked(&testbed.scenario, at, labels.0, labels.1, excess, job.work);
            pending_requests.push(spawn_local(run_client_request(clients.clone(), at, job, labels)));
        }
        pending_requests.retain(|h| !h.is_finished());
    }
    for handle in pending_requests {
        // A panic of a client is already reported; the other requests still count.
        let _ = handle.await;
    }
}

/// Runs one request of a client with the client's own retries. It was due at `first_due`.
async fn run_client_request(clients: Rc<Clients>, first_due: Micros, job: Job, labels: (u32, u32, bool)) {
    let testbed = clients.testbed.clone();
    let class = &testbed.scenario.classes[job.class];
    let (mut attempts, mut due) = (0, first_due);
    let outcome = loop {
        attempts += 1;
        let remaining = class.deadline - (due - first_due);
        let gives_up_after = (remaining as f64 * testbed.scenario.clients.timeout_fraction) as Micros;
        let attempt = send_request(&clients, &job, labels, due, remaining);
        let Ok(answer) = timeout(Duration::from_micros(gives_up_after as u64 + 200_000), attempt).await
        else {
            break if testbed.scenario.clients.timeout_fraction < 1.0 {
                Outcome::Left
            } else {
                Outcome::Lost
            };
        };
        let elapsed = testbed.now() - START - first_due;
        let after = after_answer(
            &testbed.scenario,
            job.class,
            job.work,
            answer,
            (elapsed, attempts),
            &mut testbed.client_rng.borrow_mut(),
        );
        match after {
            NextStep::Settled(outcome) => break outcome,
            NextStep::Retry(wait) => {
                sleep(Duration::from_micros(wait as u64)).await;
                due = testbed.now() - START;
            }
        }
    };
    let elapsed = testbed.now() - START - first_due;
    testbed.tally.borrow_mut().settled(&testbed.scenario, first_due, elapsed, labels, job.work, outcome);
}

/// Sends one attempt and returns the answer with the delay of its `Retry-After` field, if any.
pub(super) async fn send_request(
    clients: &Rc<Clients>,
    job: &Job,
    labels: (u32, u32, bool),
    due: Micros,
    remaining: Micros,
) -> (Answer, Option<Micros>) {
    let testbed = &clients.testbed;
    let class = &testbed.scenario.classes[job.class];
    let id = clients.last_id.get() + 1;
    clients.last_id.set(id);
    let lag = (testbed.now() - START - due).max(0);
    let _ = testbed.lag.borrow_mut().record(lag.max(1) as u64);
    testbed.requests.borrow_mut().insert(id, RequestInfo { work: job.work, node: job.node });
    testbed.checker.borrow_mut().request_accepted(id, testbed.now() + remaining, class.idempotency);
    let _guard = OpenGuard::new(testbed, id);
    let request = Request::post(format!("/{}", class.name))
        .header("Host", "lab")
        .header("Request-Id", format!("{id:x}"))
        .header("Tenant", &testbed.scenario.tenants[labels.0 as usize].name)
        .header("Request-Timeout", format!("{remaining}u"));
    let request = match class.idempotency {
        Idempotency::Keyed { .. } => request.header("Idempotency-Key", format!("{id:032x}")),
        _ => request,
    };
    let request = match job.hint {
        Some(hint) => request.header("Work-Hint", hint),
        None => request,
    };
    let request = request.body(Full::new(Bytes::from_static(b"lab")));
    let Ok(request) = request else { return (Answer::Failed, None) };
    let answer = exchange(clients, job.node as usize, request).await;
    let (answer, retry_after) = match answer {
        Ok((StatusCode::OK, _)) => (Answer::Served, None),
        Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, after)) => {
            (Answer::Refused, after)
        }
        // A broken connection gives no answer, so the request counts as overdue.
        Err(_) => {
            testbed.checker.borrow_mut().overdue(id, testbed.now());
            return (Answer::Failed, None);
        }
        Ok(_) => (Answer::Failed, None),
    };
    testbed.checker.borrow_mut().answered(id, answer, testbed.now());
    (answer, retry_after)
}

/// Counts a request as open while it lives, and reports it as abandoned or overdue when dropped without an
/// answer.
struct OpenGuard<'a> {
    testbed: &'a Testbed,
    id: u64,
}

impl<'a> OpenGuard<'a> {
    fn new(testbed: &'a Testbed, id: u64) -> Self {
        testbed.open_requests.set(testbed.open_requests.get() + 1);
        OpenGuard { testbed, id }
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.testbed.open_requests.set(self.testbed.open_requests.get() - 1);
        // Has no effect after an answer.
        if self.testbed.scenario.clients.timeout_fraction < 1.0 {
            self.testbed.checker.borrow_mut().left(self.id);
        } else {
            self.testbed.checker.borrow_mut().overdue(self.id, self.testbed.now());
        }
    }
}

#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

async fn exchange(
    clients: &Rc<Clients>,
    node: usize,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Option<Micros>), ExchangeError> {
    let mut request = request;
    loop {
        let pooled = clients.idle[node].borrow_mut().pop();
        let was_pooled = pooled.is_some();
        let mut connection = match pooled {
            Some(c) if !c.is_closed() => c,
            Some(_) => continue,
            None => {
                let stream = TcpStream::connect(clients.addresses[node]).await?;
                stream.set_nodelay(true)?;
                let (sender, driver) = handshake(TokioIo::new(stream)).await?;
                spawn_local(async move {
                    // Errors are returned by the sender.
                    let _ = driver.await;
                });
                sender
            }
        };
        connection.ready().await.ok();
        match connection.try_send_request(request).await {
            Ok(response) => {
                let status = response.status();
                let after = response.headers().get("retry-after").and_then(|v| v.to_str().ok());
                let after = after.and_then(|v| v.parse::<f64>().ok()).map(|s| (s * 1e6) as Micros);
                response.into_body().collect().await?;
                clients.idle[node].borrow_mut().push(connection);
                return Ok((status, after));
            }
            // The node closed the idle connection at the same time; retried on another one.
            Err(mut e) => match e.take_message().filter(|_| was_pooled) {
                Some(unsent) => request = unsent,
                None => return Err(e.into_error().into()),
            },
        }
    }
}
