//! The clients: an open loop over HTTP/1.1, a connection for each request that is out.

use super::{Asked, Rig};
use crate::clients::{next, Next, Quota};
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

/// What the clients of all nodes have.
pub(super) struct Clients {
    rig: Rc<Rig>,
    addresses: Vec<SocketAddr>,
    /// Connections to each node on which nothing is out.
    idle: Vec<RefCell<Vec<Connection>>>,
    ids: Cell<u64>,
}

impl Clients {
    /// Those of nodes at these addresses.
    pub(super) fn new(rig: &Rc<Rig>, addresses: &[SocketAddr]) -> Rc<Clients> {
        Rc::new(Clients {
            rig: rig.clone(),
            addresses: addresses.to_vec(),
            idle: addresses.iter().map(|_| RefCell::default()).collect(),
            ids: Cell::new(0),
        })
    }
}

/// Send everything that the scenario asks for, and wait for what becomes of it.
pub async fn drive(rig: &Rc<Rig>, addresses: &[SocketAddr]) {
    let clients = Clients::new(rig, addresses);
    let tenants = (0..rig.sc.tenants.len()).map(|tenant| tenant_asks(clients.clone(), tenant));
    join_all(tenants).await;
}

async fn tenant_asks(clients: Rc<Clients>, tenant: usize) {
    let rig = clients.rig.clone();
    let (mut arrivals, mut jobs) = (Arrivals::new(&rig.sc, tenant), Jobs::new(&rig.sc, tenant));
    let mut bursts: Vec<_> = rig.sc.bursts.iter().filter(|b| b.tenant == tenant).cloned().collect();
    bursts.sort_by_key(|b| b.at);
    let mut bursts = bursts.into_iter().peekable();
    let mut quota = Quota::new(rig.sc.tenants[tenant].quota, 0);
    let mut out: Vec<JoinHandle<()>> = Vec::new();
    let mut coming = arrivals.next_time();
    loop {
        let (at, count) = match bursts.peek() {
            Some(b) if b.at <= coming => (b.at, b.count),
            _ => (coming, 1),
        };
        if at >= rig.sc.length {
            break;
        }
        if bursts.next_if(|b| b.at == at && b.at <= coming).is_none() {
            coming = arrivals.next_time();
        }
        sleep_until(rig.moment(START + at)).await;
        for _ in 0..count {
            let job = jobs.next_job(at);
            let excess = quota.exceeded(at);
            let what = (tenant as u32, job.class as u32, excess);
            rig.tally.borrow_mut().asked(&rig.sc, at, what.0, what.1, excess, job.work);
            out.push(spawn_local(ask(clients.clone(), at, job, what)));
        }
        out.retain(|h| !h.is_finished());
    }
    for handle in out {
        // A client that panicked has told so itself; the others' answers still count.
        let _ = handle.await;
    }
}

/// One client's request, with its own tries; it was meant to be sent at `first`.
async fn ask(clients: Rc<Clients>, first: Micros, job: Job, what: (u32, u32, bool)) {
    let rig = clients.rig.clone();
    let class = &rig.sc.classes[job.class];
    let (mut tries, mut meant) = (0, first);
    let outcome = loop {
        tries += 1;
        let left = class.deadline - (meant - first);
        let leaves = (left as f64 * rig.sc.clients.timeout_fraction) as Micros;
        let tried = attempt(&clients, &job, what, meant, left);
        let Ok(answer) = timeout(Duration::from_micros(leaves as u64 + 200_000), tried).await else {
            break if rig.sc.clients.timeout_fraction < 1.0 { Outcome::Left } else { Outcome::Lost };
        };
        let took = rig.now() - START - first;
        let after = next(&rig.sc, job.class, job.work, answer, (took, tries), &mut rig.clients.borrow_mut());
        match after {
            Next::Settled(outcome) => break outcome,
            Next::Retry(wait) => {
                sleep(Duration::from_micros(wait as u64)).await;
                meant = rig.now() - START;
            }
        }
    };
    let took = rig.now() - START - first;
    rig.tally.borrow_mut().settled(&rig.sc, first, took, what, job.work, outcome);
}

/// One try: the answer, and when the client was told to come back.
pub(super) async fn attempt(
    clients: &Rc<Clients>,
    job: &Job,
    what: (u32, u32, bool),
    meant: Micros,
    left: Micros,
) -> (Answer, Option<Micros>) {
    let rig = &clients.rig;
    let class = &rig.sc.classes[job.class];
    let id = clients.ids.get() + 1;
    clients.ids.set(id);
    let lag = (rig.now() - START - meant).max(0);
    let _ = rig.lag.borrow_mut().record(lag.max(1) as u64);
    rig.asked.borrow_mut().insert(id, Asked { work: job.work, node: job.node });
    rig.checker.borrow_mut().taken(id, rig.now() + left, class.idempotency);
    let _open = Open::one(rig, id);
    let request = Request::post(format!("/{}", class.name))
        .header("Host", "lab")
        .header("Request-Id", format!("{id:x}"))
        .header("Tenant", &rig.sc.tenants[what.0 as usize].name)
        .header("Request-Timeout", format!("{left}u"));
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
        // A broken connection is no answer at all: it shows as overdue.
        Err(_) => {
            rig.checker.borrow_mut().overdue(id, rig.now());
            return (Answer::Failed, None);
        }
        Ok(_) => (Answer::Failed, None),
    };
    rig.checker.borrow_mut().answered(id, answer, rig.now());
    (answer, retry_after)
}

/// Counts a request as open for as long as it lives; one whose client leaves is left.
struct Open<'a> {
    rig: &'a Rig,
    id: u64,
}

impl<'a> Open<'a> {
    fn one(rig: &'a Rig, id: u64) -> Self {
        rig.open.set(rig.open.get() + 1);
        Open { rig, id }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.rig.open.set(self.rig.open.get() - 1);
        // Answered, that changes nothing; else its client has left, or waited in vain.
        if self.rig.sc.clients.timeout_fraction < 1.0 {
            self.rig.checker.borrow_mut().left(self.id);
        } else {
            self.rig.checker.borrow_mut().overdue(self.id, self.rig.now());
        }
    }
}

#[derive(Debug, thiserror::Error)]
enum Gone {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

async fn exchange(
    clients: &Rc<Clients>,
    node: usize,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Option<Micros>), Gone> {
    let mut request = request;
    loop {
        let kept = clients.idle[node].borrow_mut().pop();
        let used = kept.is_some();
        let mut connection = match kept {
            Some(c) if !c.is_closed() => c,
            Some(_) => continue,
            None => {
                let stream = TcpStream::connect(clients.addresses[node]).await?;
                stream.set_nodelay(true)?;
                let (sender, driver) = handshake(TokioIo::new(stream)).await?;
                spawn_local(async move {
                    // Its end shows at the sender.
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
            // It crossed the node's closing of an idle connection: sent once more on another.
            Err(mut e) => match e.take_message().filter(|_| used) {
                Some(unsent) => request = unsent,
                None => return Err(e.into_error().into()),
            },
        }
    }
}
