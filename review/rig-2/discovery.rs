//! A stand-in discovery: the whole list, and watches with an empty line every 2 s while nothing changes.

use crate::http::read_message;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Interval of the empty lines of a watch.
const HEARTBEAT: Duration = Duration::from_millis(2_000);
/// Number of pieces in which a slow discovery sends a list.
const PIECES: usize = 30;

/// How fast discovery writes a list or changes.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    AtOnce,
    /// In pieces, which take that long together.
    Over(Duration),
}

/// An executor on the list.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
}

impl Member {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"home","flavor":"standard","cell":0,"phase":"{}","size":1.0,"up_since_ms":0}}"#,
            self.id, self.address, self.phase
        )
    }
}

struct State {
    revision: u64,
    members: Vec<Member>,
    /// Each change with its revision.
    changes: Vec<(u64, Member)>,
    /// When the node first asked, in milliseconds since the start of the run.
    first_asked_ms: Option<f64>,
}

/// A running discovery.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pace: Pace,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Discovery {
    /// Starts a discovery with that list.
    pub fn start(members: Vec<Member>, pace: Pace, record: &Record) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { revision: 1, members, changes: Vec::new(), first_asked_ms: None };
        let discovery = Discovery {
            address: listener.local_addr()?,
            pace,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = served.clone();
                std::thread::spawn(move || {
                    let ended = discovery.serve(stream);
                    discovery.record.line(&format!("discovery: a connection has ended: {ended:?}"));
                });
            }
        });
        Ok(discovery)
    }

    /// Returns the whole list.
    pub fn whole_list(&self) -> String {
        let state = self.lock();
        let members: Vec<String> = state.members.iter().map(Member::json).collect();
        format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, state.revision, members.join(","))
    }

    /// Changes the phase of a member.
    pub fn set_phase(&self, id: &str, phase: &'static str) {
        let mut state = self.lock();
        let revision = state.revision + 1;
        let Some(member) = state.members.iter_mut().find(|m| m.id == id) else { return };
        member.phase = phase;
        let change = (revision, member.clone());
        state.revision = revision;
        state.changes.push(change);
        self.record.line(&format!("discovery: {id} is {phase} with revision {revision}"));
        self.state.1.notify_all();
    }

    /// Returns when the node first asked, in milliseconds since the start of the run.
    pub fn first_asked_ms(&self) -> Option<f64> {
        self.lock().first_asked_ms
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let target = request.target().to_string();
            self.record.line(&format!("discovery: asked for {target}"));
            self.lock().first_asked_ms.get_or_insert(self.record.now_ms());
            if !target.contains("watch=1") {
                let list = self.whole_list();
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len())?;
                self.write_paced(&list, |piece| stream.write_all(piece))?;
                continue;
            }
            let from = target.rsplit("from=").next().and_then(|n| n.parse().ok()).unwrap_or(0);
            return self.watch(stream, from);
        }
        Ok(())
    }

    fn watch(&self, mut stream: TcpStream, mut from: u64) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            let news = {
                let is_old = |state: &mut State| state.revision <= from;
                let waited = self.state.1.wait_timeout_while(self.lock(), HEARTBEAT, is_old);
                let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
                let news = state.changes.iter().filter(|(revision, _)| *revision > from);
                let news: Vec<String> = news.map(|(_, member)| member.json()).collect();
                from = state.revision;
                news
            };
            let mut write_chunk = |piece: &[u8]| {
                stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes())?;
                stream.write_all(piece)?;
                stream.write_all(b"\r\n")
            };
            if news.is_empty() {
                write_chunk(b"\n")?;
            } else {
                let (revision, members) = (from, news.join(","));
                let object = format!(r#"{{"revision":{revision},"complete":false,"members":[{members}]}}"#);
                self.write_paced(&(object + "\n"), write_chunk)?;
                self.record.line(&format!("discovery: all changes up to revision {from} are written"));
            }
        }
    }

    /// Writes a text at discovery's pace.
    fn write_paced(
        &self,
        text: &str,
        mut write: impl FnMut(&[u8]) -> std::io::Result<()>,
    ) -> std::io::Result<()> {
        let Pace::Over(duration) = self.pace else { return write(text.as_bytes()) };
        for piece in text.as_bytes().chunks(text.len().div_ceil(PIECES).max(1)) {
            write(piece)?;
            std::thread::sleep(duration / PIECES as u32);
        }
        Ok(())
    }
}
