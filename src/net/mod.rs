//! The node on sockets: a frontend for clients and a backend for backend servers, which meet in an
//! [`exchange::Exchange`], and a server table that follows discovery.

pub mod backend;
pub mod codec;
pub mod config;
pub mod deadlines;
pub mod ending;
pub mod exchange;
pub mod frontend;
pub mod pool;
pub mod server_table;

use backend::{Backend, Bounds};
use config::Config;
use deadlines::Deadlines;
use exchange::Exchange;
use frontend::Frontend;
use pool::{Buffer, Pool};
use server_table::ServerTable;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tracing::info;

/// A request as it goes on to a backend server.
#[derive(Debug)]
pub struct Job {
    /// The host it was meant for.
    pub host: String,
    /// Its id, as the client wrote it.
    pub id: String,
    /// Its tenant, if it named one.
    pub tenant: Option<String>,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Buffer,
}

/// Why the node could not serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The address for clients can't be had.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A part of the node has ended, which it does only by a fault.
    #[error("the {0} has ended")]
    Part(&'static str),
    /// The system gave no runtime or no signals.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
}

/// Connections to backend servers are closed after this part of the time that those allow.
const IDLE_PART: f64 = 0.7;
/// After SIGTERM the node takes requests as before for this long: new connections and requests go on
/// coming for 0.7 s, and each must be answered.
const DRAIN: Duration = Duration::from_millis(750);

/// Serve until told to stop.
pub fn serve(config: Config) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), ServeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|source| ServeError::Listen { address: config.listen, source })?;
    let address = listener.local_addr()?;
    let deadlines = Rc::new(Deadlines::default());
    let pool = Rc::new(Pool::default());
    let (exchange, orders) = Exchange::new(&config.setup, config.seed, deadlines.clone());
    let micros = |t: i64| Duration::from_micros(t.max(0) as u64);
    let bounds = Bounds {
        connections: config.limits.backend(),
        connect_timeout: micros(config.setup.connect_timeout()),
        idle: micros(config.setup.conn_idle()).mul_f64(IDLE_PART),
    };
    let backend = Backend::new(exchange.clone(), deadlines.clone(), pool.clone(), bounds);
    let table = ServerTable::new(exchange.clone(), deadlines.clone(), pool.clone(), config.discovery);
    let frontend = Frontend::new(exchange.clone(), deadlines.clone(), pool, config.limits.frontend());

    let sweep = spawn_local({
        let deadlines = deadlines.clone();
        async move { deadlines.sweep().await }
    });
    let wake = spawn_local({
        let exchange = exchange.clone();
        async move { exchange.wake().await }
    });
    let orders = spawn_local(backend.clone().run(orders));
    let table = spawn_local(table.follow(config.known));
    let mut accepting = spawn_local(frontend.clone().accept(listener));
    info!("{} serves on {address}", config.name);

    // Guards against a node that goes on without one of its parts: a panic ends only its task.
    let parts = async {
        tokio::select! {
            _ = sweep => "deadlines",
            _ = wake => "exchange",
            _ = orders => "backend",
            _ = table => "server table",
        }
    };
    let mut parts = std::pin::pin!(parts);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        part = &mut parts => return Err(ServeError::Part(part)),
        _ = &mut accepting => return Err(ServeError::Part("frontend")),
    }
    info!("told to stop: {} requests are open", exchange.open());
    frontend.leave();
    let drained = async {
        deadlines.after(DRAIN).await;
        frontend.close();
        let _ = accepting.await;
        frontend.ended().await;
        backend.shut_down().await;
    };
    tokio::select! {
        () = drained => {}
        part = &mut parts => return Err(ServeError::Part(part)),
    }
    info!("stopped");
    Ok(())
}
