//! Processes of the programs under test: starting, stopping, killing and pausing them, and reading their logs.

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

/// Upper limit on the time that a process takes to serve, or to exit after a signal.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the time that a node waits for a CPU is read.
const CPU_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A longer wait for a CPU within one interval is recorded as starvation.
const MAX_CPU_WAIT: Duration = Duration::from_millis(40);
/// Number of log lines that are kept of each process.
const MAX_LOG_LINES: usize = 200;

/// A shell script that reads the starts and exits of processes from its standard input, and at the end of the input kills all
/// that are still running.
const GUARD_SCRIPT: &str = r#"
all=' '
while read -r sign pid; do
  case $sign in
    +) all="$all$pid " ;;
    -) case "$all" in *" $pid "*) all="${all%% $pid *} ${all#* $pid }" ;; esac ;;
  esac
done
for pid in $all; do kill -9 "$pid"; done
"#;

/// Notifies the guard that a process has started (`+`) or exited (`-`): the guard kills the remaining processes however this
/// program ends.
fn notify_guard(event: char, pid: Pid) {
    static PIPE: OnceLock<Option<Mutex<ChildStdin>>> = OnceLock::new();
    let start = || {
        let mut command = std::process::Command::new("sh");
        // In a process group of its own, so that signals from a terminal don't reach it.
        command.args(["-c", GUARD_SCRIPT]).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        command.process_group(0).spawn().ok()?.stdin.map(Mutex::new)
    };
    if let Some(pipe) = PIPE.get_or_init(start) {
        let mut pipe = pipe.lock().unwrap_or_else(PoisonError::into_inner);
        // Without a guard processes may be left running; the run itself goes on.
        let _ = writeln!(pipe, "{event} {}", pid.as_raw_nonzero());
    }
}

/// How far the current process of a [`ManagedProcess`] has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process has been started and does not serve yet.
    Starting,
    /// The process serves.
    Serving,
    /// No process is running.
    Exited,
}

/// A node or a quota server across the restarts of its process.
#[derive(Debug)]
pub struct ManagedProcess {
    number: u32,
    /// The program of the next process, and the other version, if there is one.
    programs: RefCell<(PathBuf, Option<PathBuf>)>,
    args: Vec<OsString>,
    /// Text of the log line that shows that it serves.
    ready_text: &'static str,
    /// Whether this is a node, whose events the history records, and not a quota server.
    is_node: bool,
    history: Rc<History>,
    pid: Cell<Option<Pid>>,
    /// Whether the current process was sent SIGTERM.
    terminated: Cell<bool>,
    /// Whether the script killed the current process, so that its exit is not recorded.
    killed_by_script: Cell<bool>,
    state: watch::Sender<ProcessState>,
    log: Rc<RefCell<VecDeque<String>>>,
}

impl ManagedProcess {
    /// Creates a node that runs `program` with `args`; no process is started yet.
    pub fn new(number: u32, program: &Path, args: Vec<OsString>, history: Rc<History>) -> Rc<ManagedProcess> {
        ManagedProcess::create(number, program, args, (" serves on ", true), history)
    }

    /// Creates a quota server that runs `program` with `args`; no process is started yet.
    pub fn quota_server(
        number: u32,
        program: &Path,
        args: Vec<OsString>,
        history: Rc<History>,
    ) -> Rc<ManagedProcess> {
        ManagedProcess::create(number, program, args, (" listens on ", false), history)
    }

    fn create(
        number: u32,
        program: &Path,
        args: Vec<OsString>,
        (ready_text, is_node): (&'static str, bool),
        history: Rc<History>,
    ) -> Rc<ManagedProcess> {
        Rc::new(ManagedProcess {
            number,
            programs: RefCell::new((program.to_path_buf(), None)),
            args,
            ready_text,
            is_node,
            history,
            pid: Cell::new(None),
            terminated: Cell::new(false),
            killed_by_script: Cell::new(false),
            state: watch::channel(ProcessState::Exited).0,
            log: Rc::default(),
        })
    }

    /// Returns the number of the node or quota server.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Sets the other version of the program, to which [`ManagedProcess::switch_version`] changes.
    pub fn set_other_version(&self, other: &Path) {
        self.programs.borrow_mut().1 = Some(other.to_path_buf());
    }

    /// Lets the next process run the other version of the program. Does nothing if there is no other version.
    pub fn switch_version(&self) {
        let (current, other) = &mut *self.programs.borrow_mut();
        other.iter_mut().for_each(|other| std::mem::swap(current, other));
    }

    /// Starts a process. The one before must have exited.
    pub fn start(self: &Rc<Self>) -> std::io::Result<()> {
        self.spawn(String::new())
    }

    /// Starts a process whose files can't grow beyond `blocks` blocks of 512 bytes: writes fail as on a full disk.
    pub fn start_with_full_disk(self: &Rc<Self>, blocks: u64) -> std::io::Result<()> {
        self.spawn(format!("trap '' XFSZ; ulimit -f {blocks};"))
    }

    /// Starts a shell that executes the commands `setup` and then the program, once the guard knows of it: it waits for a line on
    /// its standard input, and ends without one.
    fn spawn(self: &Rc<Self>, setup: String) -> std::io::Result<()> {
        let script = format!("read -r line || exit; {setup} exec \"$0\" \"$@\" </dev/null");
        let mut child = Command::new("sh")
            .args(["-c", &script])
            .arg(&self.programs.borrow().0)
            .args(&self.args)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .env_remove("ROUTER_MGMT")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        self.pid.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        self.terminated.set(false);
        self.killed_by_script.set(false);
        self.state.send_replace(ProcessState::Starting);
        self.record(Event::ProcessStarted { node: self.number });
        if let Some(pid) = self.pid.get() {
            notify_guard('+', pid);
            if self.is_node {
                spawn_local(self.clone().watch_cpu(pid));
            }
        }
        if let Some(input) = child.stdin.take() {
            std::fs::File::from(input.into_owned_fd()?).write_all(b"\n")?;
        }
        let log = child.stderr.take();
        let node = self.clone();
        spawn_local(async move {
            let Some(log) = log else { return };
            let mut lines = BufReader::new(log).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if line.contains(node.ready_text) {
                    node.record(Event::Ready { node: node.number });
                    node.state.send_replace(ProcessState::Serving);
                }
                if line.contains(" is dropped: ") {
                    node.record(Event::MessageDropped { node: node.number });
                }
                let mut log_lines = node.log.borrow_mut();
                if log_lines.len() == MAX_LOG_LINES {
                    log_lines.pop_front();
                }
                log_lines.push_back(line);
            }
        });
        let node = self.clone();
        spawn_local(async move {
            let code = child.wait().await.ok().and_then(|status| status.code());
            if let Some(pid) = node.pid.get() {
                notify_guard('-', pid);
            }
            node.pid.set(None);
            if !node.killed_by_script.get() && !node.is_node {
                let text = format!(
                    "quota server {} exited with {code:?}, after SIGTERM: {}",
                    node.number,
                    node.terminated.get()
                );
                node.history.record(Event::Script { event: text });
            } else if !node.killed_by_script.get() {
                node.record(Event::Exited { node: node.number, requested: node.terminated.get(), code });
            }
            node.state.send_replace(ProcessState::Exited);
        });
        Ok(())
    }

    /// Records when the main thread, which does all work but disk writes, waits long for a CPU.
    async fn watch_cpu(self: Rc<Self>, pid: Pid) {
        let stat = format!("/proc/{}/schedstat", pid.as_raw_nonzero());
        let cpu_wait = || {
            let text = std::fs::read_to_string(&stat).ok()?;
            text.split_whitespace().nth(1)?.parse::<u64>().ok().map(Duration::from_nanos)
        };
        let (Some(mut previous_wait), mut last_check) = (cpu_wait(), self.history.now()) else { return };
        let mut checked_at = Instant::now();
        while self.pid.get() == Some(pid) {
            sleep(CPU_CHECK_INTERVAL).await;
            let Some(current) = cpu_wait() else { return };
            // A late check means that this program lacked a CPU itself, so its own times are off.
            if current.saturating_sub(previous_wait) > MAX_CPU_WAIT
                || checked_at.elapsed() > CPU_CHECK_INTERVAL + MAX_CPU_WAIT
            {
                self.record(Event::Starved { node: self.number, from: last_check });
            }
            (previous_wait, last_check, checked_at) = (current, self.history.now(), Instant::now());
        }
    }

    /// Waits until the process has started; returns whether it serves.
    pub async fn wait_until_serving(&self) -> bool {
        let mut states = self.state.subscribe();
        let outcome = timeout(STATE_TIMEOUT, states.wait_for(|s| *s != ProcessState::Starting)).await;
        matches!(outcome, Ok(Ok(s)) if *s == ProcessState::Serving)
    }

    /// Waits for a state; returns whether the process reached it before the timeout.
    pub async fn wait_for(&self, state: ProcessState) -> bool {
        let mut states = self.state.subscribe();
        let outcome = timeout(STATE_TIMEOUT, states.wait_for(|s| *s == state)).await;
        matches!(outcome, Ok(Ok(_)))
    }

    fn record(&self, event: Event) {
        if self.is_node {
            self.history.record(event);
        }
    }

    /// Sends SIGHUP, on which the process reads its files again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.get() {
            // The process may just have exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&self) {
        self.killed_by_script.set(true);
        self.record(Event::Disrupted { node: self.number });
        self.signal(Signal::KILL);
    }

    /// Asks the process to shut down (SIGTERM).
    pub fn terminate(&self) {
        self.terminated.set(true);
        self.record(Event::Terminating { node: self.number });
        self.signal(Signal::TERM);
    }

    /// Pauses the process (SIGSTOP), and records that.
    pub fn pause(&self) {
        self.record(Event::Disrupted { node: self.number });
        self.signal(Signal::STOP);
    }

    /// Pauses the process without a record in the history, so that its disk can be copied, and waits until all threads have
    /// stopped. Returns false if there is no process, or if it doesn't stop.
    pub async fn pause_for_copy(&self) -> bool {
        let Some(pid) = self.pid.get() else { return false };
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/task", pid.as_raw_nonzero());
        let stopped = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The state follows the name, which may hold any text and ends at the last bracket.
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

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Records that the process serves again after a pause.
    pub fn record_serving(&self) {
        self.record(Event::Ready { node: self.number });
    }

    /// Returns the last lines of the log.
    pub fn log(&self) -> Vec<String> {
        self.log.borrow().iter().cloned().collect()
    }
}
