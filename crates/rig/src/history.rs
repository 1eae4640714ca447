//! The event history of a run: everything that happened, in order, with timestamps of one monotonic clock. It is the only input of the
//! checkers.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::time::Instant;

/// Microseconds: a timestamp since the start of the run, or a duration.
pub type Micros = i64;

/// How often a job may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Any number of times: the job is idempotent.
    Safe,
    /// At most once.
    Never,
}

/// Something that happened during a run and that the checkers may depend on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum Event {
    /// The script performed an action.
    Script {
        /// The action as the script file writes it.
        event: String,
    },
    /// A process is ready to serve: it has started up, or continues after a halt.
    #[serde(rename = "serves")]
    Ready {
        /// Index of the node, from 0.
        node: u32,
    },
    /// The script killed or halted a process. Until the node is ready again, requests at it may stay without an answer.
    #[serde(rename = "struck")]
    Disrupted {
        /// Index of the node, from 0.
        node: u32,
    },
    /// A process exited, by itself or after a SIGTERM.
    Exited {
        /// Index of the node, from 0.
        node: u32,
        /// Whether the process had received a SIGTERM.
        #[serde(rename = "told")]
        requested: bool,
        /// The exit code; `None` after a fatal signal.
        code: Option<i32>,
    },
    /// A client wrote the last byte of a request.
    #[serde(rename = "asked")]
    Requested {
        /// Id of the request.
        id: u64,
        /// The node that the client is connected to.
        node: u32,
        /// The client's timeout, in microseconds.
        #[serde(rename = "patience")]
        timeout: Micros,
        /// How often the job may run.
        repeat: Repeat,
    },
    /// A client read a complete response.
    Answered {
        /// Id of the request.
        id: u64,
        /// The HTTP status.
        status: u16,
    },
    /// A client's connection closed without a complete response, or the client timed out.
    Unanswered {
        /// Id of the request.
        id: u64,
    },
    /// The last byte of a dispatch reached a backend server.
    Arrived {
        /// Id of the request.
        id: u64,
        /// Index of the backend server, from 0.
        server: u32,
        /// The node that dispatched the request.
        node: u32,
        /// When the relay received the first byte of the dispatch.
        sent: Micros,
    },
    /// A backend server rejected a job, which proves that the job did not run there.
    #[serde(rename = "turned-away")]
    RejectedByServer {
        /// Id of the request.
        id: u64,
        /// Index of the backend server, from 0.
        server: u32,
    },
    /// A backend server started to run a job.
    #[serde(rename = "begun")]
    JobStarted {
        /// Id of the request.
        id: u64,
        /// Index of the backend server, from 0.
        server: u32,
    },
    /// A job left a backend server: it was completed, killed, or never started there.
    #[serde(rename = "left")]
    JobReleased {
        /// Id of the request.
        id: u64,
        /// Index of the backend server, from 0.
        server: u32,
    },
    /// A probe reached a backend server.
    Probed {
        /// Index of the backend server, from 0.
        server: u32,
        /// When the relay received the first byte of the probe.
        sent: Micros,
    },
    /// A node opened a connection to discovery.
    #[serde(rename = "called")]
    DiscoveryConnected {
        /// Index of the node, from 0.
        node: u32,
    },
    /// The fleet's configuration files set a new total for a budget.
    #[serde(rename = "whole")]
    BudgetTotal {
        /// Name of the budget in the configuration files.
        budget: String,
        /// The total over all nodes, in units of the budget.
        #[serde(rename = "whole")]
        total: u64,
    },
    /// Discovery wrote the state of a backend server to a node.
    #[serde(rename = "told")]
    ServerListed {
        /// Index of the node, from 0.
        node: u32,
        /// Index of the backend server, from 0.
        server: u32,
        /// Whether the server accepts new work.
        live: bool,
    },
    /// A node's process was runnable for much of an interval without getting a processor, or the test harness itself got none.
    Starved {
        /// Index of the node, from 0.
        node: u32,
        /// Start of the interval, which ends at the timestamp of the event.
        from: Micros,
    },
    /// A process was started, and may send messages to its peers from now on.
    #[serde(rename = "started")]
    ProcessStarted {
        /// Index of the node, from 0.
        node: u32,
    },
    /// A process was sent a SIGTERM.
    #[serde(rename = "ends")]
    Terminating {
        /// Index of the node, from 0.
        node: u32,
    },
    /// Details of a request that a client is about to send.
    #[serde(rename = "of")]
    RequestDetails {
        /// Id of the request.
        id: u64,
        /// The tenant that the request belongs to.
        tenant: String,
        /// The earlier request that this one repeats under the same idempotency key or request id.
        #[serde(rename = "again")]
        repeat_of: Option<u64>,
        /// The idempotency key, or the request id where the request has no key.
        key: String,
    },
    /// A node rejected a request and gave a reason.
    #[serde(rename = "barred")]
    RejectedByNode {
        /// Id of the request.
        id: u64,
        /// The reason in the node's response.
        #[serde(rename = "why")]
        reason: String,
    },
    /// An accounts file was delivered to a node.
    #[serde(rename = "handed")]
    AccountsFileDelivered {
        /// Index of the node, from 0.
        node: u32,
        /// The number of the file.
        number: u64,
        /// The account that the file names.
        account: String,
        /// The account's status in the file.
        #[serde(rename = "standing")]
        status: String,
    },
    /// Messages from one site to another stopped getting through, or get through again.
    #[serde(rename = "apart")]
    SiteLinkCut {
        /// The sending site.
        from: u32,
        /// The receiving site.
        to: u32,
        /// Whether the link is cut from now on.
        cut: bool,
    },
    /// Messages from and to a site start to be lost, duplicated and delayed, or stop being so.
    #[serde(rename = "rough")]
    SiteLinkDegraded {
        /// Index of the site, from 0.
        site: u32,
        /// Whether its links are degraded from now on.
        #[serde(rename = "rough")]
        degraded: bool,
    },
    /// A node is about to restart with its disk as the last process left it, with an empty disk, or with an old copy.
    Disk {
        /// Index of the node, from 0.
        node: u32,
        /// The state of the disk: `kept`, `lost` or `old`.
        disk: String,
    },
    /// The status that a node reports for an account at the end of the run.
    #[serde(rename = "stands")]
    AccountStatus {
        /// Index of the node, from 0.
        node: u32,
        /// Name of the account.
        account: String,
        /// The account's status.
        #[serde(rename = "standing")]
        status: String,
    },
    /// The state that a node reports at the end of the run for a site, for its own key range, or for its account status.
    #[serde(rename = "sees")]
    ReportedState {
        /// Index of the node, from 0.
        node: u32,
        /// A site's name; `home SITE/NODE` for a key range; or `standing` for whether account status is confirmed.
        #[serde(rename = "of")]
        subject: String,
        /// The reported state.
        #[serde(rename = "seen")]
        state: String,
    },
    /// The placements that a node reports at the end of the run.
    #[serde(rename = "holds")]
    PlacementDigest {
        /// Index of the node, from 0.
        node: u32,
        /// Digest of all logs that the node knows.
        digest: String,
        /// Number of entries in all logs.
        #[serde(rename = "all")]
        entries: u64,
        /// Number of jobs that the node found to have run more than once.
        violations: u64,
    },
    /// The placements on a node's disk after its last process has exited.
    #[serde(rename = "kept")]
    DiskDigest {
        /// Index of the node, from 0.
        node: u32,
        /// Digest of all logs on the disk; `None` if the disk can't be read.
        digest: Option<String>,
        /// Why the disk can't be read; empty if it can.
        #[serde(rename = "why")]
        error: String,
    },
    /// The placements on the disks of all nodes, merged.
    #[serde(rename = "together")]
    MergedDigest {
        /// Digest of the merged logs.
        digest: String,
    },
    /// A placement of a job that must not repeat, read from the disks after all processes have exited.
    Placed {
        /// The node that placed the job.
        node: u32,
        /// The log and the number of the entry in it.
        entry: String,
        /// The idempotency key.
        key: String,
        /// Index of the backend server, from 0.
        server: u32,
        /// How the placement ended: `served`, `never-ran` or `unknown`.
        #[serde(rename = "how")]
        outcome: String,
        /// The nodes whose disks hold the placement.
        holders: Vec<u32>,
    },
    /// A datagram between two nodes was modified in transit.
    #[serde(rename = "changed")]
    DatagramChanged {
        /// The sending node.
        from: u32,
        /// The receiving node.
        to: u32,
        /// The modification, as scripts name it.
        #[serde(rename = "how")]
        change: String,
    },
    /// A node logged that it dropped a message that failed authentication.
    #[serde(rename = "disbelieved")]
    MessageDropped {
        /// Index of the node, from 0.
        node: u32,
    },
    /// Units of a budget were used, as counted at the resource that the budget limits.
    Used {
        /// Name of the budget.
        budget: String,
        /// The number of units.
        amount: u64,
    },
}

/// An event with its timestamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event since the start of the run.
    pub at: Micros,
    /// The recorded event; JSON has its fields beside `at`.
    #[serde(flatten)]
    pub event: Event,
}

/// Collects the events of one run, with their times since the start of the run.
#[derive(Debug)]
pub struct History {
    origin: Instant,
    records: RefCell<Vec<Record>>,
}

impl Default for History {
    fn default() -> Self {
        History { origin: Instant::now(), records: RefCell::default() }
    }
}

impl History {
    /// Returns the current time on the history's clock.
    pub fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }

    /// Converts an instant to the history's clock; instants before the start of the run become 0.
    pub fn timestamp(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.origin).as_micros() as Micros
    }

    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        let at = self.now();
        self.records.borrow_mut().push(Record { at, event });
    }

    /// Returns a copy of all records so far.
    pub fn records(&self) -> Vec<Record> {
        self.records.borrow().clone()
    }
}

/// Formats records as JSON, one object a line.
pub fn to_json_lines(records: &[Record]) -> String {
    let line = |r: &Record| serde_json::to_string(r).unwrap_or_default() + "\n";
    records.iter().map(line).collect()
}
