//! The processes of the program.

use crate::history::{Event, History};
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::ffi::OsString;
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{ChildStdin, Stdio};
use std::rc::Rc;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Within this time a process serves, or is gone after it was told to end.
const PATIENCE: Duration = Duration::from_secs(20);
/// How often it is seen whether a process has a processor, and how long it may wait for one meanwhile.
const LOOKS: Duration = Duration::from_millis(100);
/// See [`LOOKS`].
const STARVED: Duration = Duration::from_millis(40);
/// Lines of a log that are kept.
const KEPT: usize = 200;

/// Kills what is left once nobody writes to it any more: it has read of each process as it began and ended.
const GUARD: &str = r#"
all=' '
while read -r sign pid; do
  case $sign in
    +) all="$all$pid " ;;
    -) case "$all" in *" $pid "*) all="${all%% $pid *} ${all#* $pid }" ;; esac ;;
  esac
done
for pid in $all; do kill -9 "$pid"; done
"#;

/// A process has begun (`+`) or ended (`-`): whatever ends the rig, its processes end with it.
fn guard(sign: char, pid: Pid) {
    static ALL: OnceLock<Option<Mutex<ChildStdin>>> = OnceLock::new();
    let start = || {
        let mut command = std::process::Command::new("sh");
        // In a group of its own: what ends the rig from a terminal does not end it.
        command.args(["-c", GUARD]).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        command.process_group(0).spawn().ok()?.stdin.map(Mutex::new)
    };
    if let Some(pipe) = ALL.get_or_init(start) {
        let mut pipe = pipe.lock().unwrap_or_else(PoisonError::into_inner);
        // Without a guard processes may be left behind, no more.
        let _ = writeln!(pipe, "{sign} {}", pid.as_raw_nonzero());
    }
}

/// Where a node's process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stands {
    /// It has been started.
    Starts,
    /// It serves.
    Serves,
    /// It has ended.
    Ended,
}

/// A node, through all processes that it has had.
#[derive(Debug)]
pub struct Node {
    number: u32,
    /// The program that the next process runs, and the other one, if there are two.
    programs: RefCell<(PathBuf, Option<PathBuf>)>,
    args: Vec<OsString>,
    /// What its log says once it serves.
    speaks: &'static str,
    /// The history tells of it: it answers clients.
    noted: bool,
    history: Rc<History>,
    pid: Cell<Option<Pid>>,
    told: Cell<bool>,
    /// Killed by the script: its end is none of its own.
    struck: Cell<bool>,
    stands: watch::Sender<Stands>,
    log: Rc<RefCell<VecDeque<String>>>,
}

impl Node {
    /// One that has no process yet, and is started with those arguments.
    pub fn new(number: u32, program: &Path, args: Vec<OsString>, history: Rc<History>) -> Rc<Node> {
        Node::make(number, program, args, (" serves on ", true), history)
    }

    /// A divider, which no client asks.
    pub fn divider(number: u32, program: &Path, args: Vec<OsString>, history: Rc<History>) -> Rc<Node> {
        Node::make(number, program, args, (" listens on ", false), history)
    }

    fn make(
        number: u32,
        program: &Path,
        args: Vec<OsString>,
        (speaks, noted): (&'static str, bool),
        history: Rc<History>,
    ) -> Rc<Node> {
        Rc::new(Node {
            number,
            programs: RefCell::new((program.to_path_buf(), None)),
            args,
            speaks,
            noted,
            history,
            pid: Cell::new(None),
            told: Cell::new(false),
            struck: Cell::new(false),
            stands: watch::channel(Stands::Ended).0,
            log: Rc::default(),
        })
    }

    /// Its number.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// There is another version of its program, to which [`Node::upgrade`] changes.
    pub fn beside(&self, other: &Path) {
        self.programs.borrow_mut().1 = Some(other.to_path_buf());
    }

    /// Its next process runs the other program, if there is one; and the one after the next upgrade this one again.
    pub fn upgrade(&self) {
        let (now, other) = &mut *self.programs.borrow_mut();
        other.iter_mut().for_each(|other| std::mem::swap(now, other));
    }

    /// Start a process, which must not be there yet.
    pub fn start(self: &Rc<Self>) -> std::io::Result<()> {
        let command = Command::new(&self.programs.borrow().0);
        self.spawn(command)
    }

    /// Start a process whose files can't grow beyond so many blocks of 512 bytes: writes fail there, as on a full disk.
    pub fn start_full(self: &Rc<Self>, blocks: u64) -> std::io::Result<()> {
        let mut command = Command::new("sh");
        let text = format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" \"$@\"");
        command.args(["-c", &text]).arg(&self.programs.borrow().0);
        self.spawn(command)
    }

    fn spawn(self: &Rc<Self>, mut command: Command) -> std::io::Result<()> {
        let mut child = command
            .args(&self.args)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .env_remove("ROUTER_MGMT")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        self.pid.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        self.told.set(false);
        self.struck.set(false);
        self.stands.send_replace(Stands::Starts);
        self.note(Event::ProcessStarted { node: self.number });
        if let Some(pid) = self.pid.get() {
            guard('+', pid);
            if self.noted {
                spawn_local(self.clone().watch(pid));
            }
        }
        let log = child.stderr.take();
        let node = self.clone();
        spawn_local(async move {
            let Some(log) = log else { return };
            let mut lines = BufReader::new(log).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if line.contains(node.speaks) {
                    node.note(Event::Ready { node: node.number });
                    node.stands.send_replace(Stands::Serves);
                }
                if line.contains(" is dropped: ") {
                    node.note(Event::MessageDropped { node: node.number });
                }
                let mut kept = node.log.borrow_mut();
                if kept.len() == KEPT {
                    kept.pop_front();
                }
                kept.push_back(line);
            }
        });
        let node = self.clone();
        spawn_local(async move {
            let code = child.wait().await.ok().and_then(|status| status.code());
            if let Some(pid) = node.pid.get() {
                guard('-', pid);
            }
            node.pid.set(None);
            if !node.struck.get() && !node.noted {
                let text =
                    format!("divider {} ended with {code:?}, told to: {}", node.number, node.told.get());
                node.history.record(Event::Script { event: text });
            } else if !node.struck.get() {
                node.note(Event::Exited { node: node.number, requested: node.told.get(), code });
            }
            node.stands.send_replace(Stands::Ended);
        });
        Ok(())
    }

    /// See how long its first thread, which does all but what is for the disk, waits for a processor.
    async fn watch(self: Rc<Self>, pid: Pid) {
        let stat = format!("/proc/{}/schedstat", pid.as_raw_nonzero());
        let waited = || {
            let text = std::fs::read_to_string(&stat).ok()?;
            text.split_whitespace().nth(1)?.parse::<u64>().ok().map(Duration::from_nanos)
        };
        let (Some(mut before), mut from) = (waited(), self.history.now()) else { return };
        let mut since = Instant::now();
        while self.pid.get() == Some(pid) {
            sleep(LOOKS).await;
            let Some(now) = waited() else { return };
            // Looked at late it is the rig that had none, and what it saw has wrong times.
            if now.saturating_sub(before) > STARVED || since.elapsed() > LOOKS + STARVED {
                self.note(Event::Starved { node: self.number, from });
            }
            (before, from, since) = (now, self.history.now(), Instant::now());
        }
    }

    /// Whether it serves, once it has started.
    pub async fn serving(&self) -> bool {
        let mut changes = self.stands.subscribe();
        let started = timeout(PATIENCE, changes.wait_for(|s| *s != Stands::Starts)).await;
        matches!(started, Ok(Ok(s)) if *s == Stands::Serves)
    }

    /// Wait until it stands so, for as long as anything that works takes.
    pub async fn until(&self, stands: Stands) -> bool {
        let mut changes = self.stands.subscribe();
        let there = timeout(PATIENCE, changes.wait_for(|s| *s == stands)).await;
        matches!(there, Ok(Ok(_)))
    }

    fn note(&self, event: Event) {
        if self.noted {
            self.history.record(event);
        }
    }

    /// Have it read its files again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.get() {
            // One that has just ended needs none.
            let _ = kill_process(pid, signal);
        }
    }

    /// End it at once.
    pub fn kill(&self) {
        self.struck.set(true);
        self.note(Event::Disrupted { node: self.number });
        self.signal(Signal::KILL);
    }

    /// Tell it to end.
    pub fn terminate(&self) {
        self.told.set(true);
        self.note(Event::Terminating { node: self.number });
        self.signal(Signal::TERM);
    }

    /// Let it stand still.
    pub fn halt(&self) {
        self.note(Event::Disrupted { node: self.number });
        self.signal(Signal::STOP);
    }

    /// Let it stand still, without a word of it in the history, until it does; false where there is no process. For a copy of its disk.
    pub async fn freeze(&self) -> bool {
        let Some(pid) = self.pid.get() else { return false };
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/task", pid.as_raw_nonzero());
        let stopped = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The state follows the name, which may hold anything but ends with the last bracket.
            text.rsplit_once(')').is_none_or(|(_, rest)| rest.trim_start().starts_with(['T', 't']))
        };
        for _ in 0..1_000 {
            if std::fs::read_dir(&stat).is_ok_and(|mut all| all.all(|t| t.is_ok_and(stopped))) {
                return true;
            }
            sleep(Duration::from_millis(2)).await;
        }
        false
    }

    /// Let it go on.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// It has had time to catch up.
    pub fn caught_up(&self) {
        self.note(Event::Ready { node: self.number });
    }

    /// The last lines of its log.
    pub fn log(&self) -> Vec<String> {
        self.log.borrow().iter().cloned().collect()
    }
}
