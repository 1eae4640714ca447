//! Real dividers on loopback: founded, led, killed, halted, with a disk lost, and asked all the while.

/// What gives out addresses to all that start processes.
#[path = "../../rig/src/addresses.rs"]
mod addresses;

use addresses::fresh;
use shorepath_message_auth::channel::Channel;
use shorepath_message_auth::keyring::Keys;
use shorepath_quota::config::{read, Plan};
use shorepath_quota::lease::Holder;
use shorepath_quota::messages::{BudgetClaim, BudgetGrant, Message, Status};
use shorepath_quota::{NodeId, NodeIncarnation};
use shorepath_quota_server::rpc::{Call, Caller, Reply};
use std::net::UdpSocket;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shorepath-divider");
/// Nothing here takes longer.
const LONG: Duration = Duration::from_secs(30);

struct Fleet {
    dir: tempfile::TempDir,
    plan: Plan,
    allocators: Vec<Option<Child>>,
    socket: UdpSocket,
    holder: NodeIncarnation,
    count: u64,
    caller: Caller,
    runtime: tokio::runtime::Runtime,
    /// The code of the node that the test plays.
    line: Channel,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.allocators.iter_mut().flatten() {
            let _ = (child.kill(), child.wait());
        }
    }
}

const KEY: &str = "4b";
const OTHER: &str = "5c";

/// A file of keys, each made of one byte, with that mode.
fn write_keys(path: &std::path::Path, keys: &[&str], mode: u32) {
    std::fs::write(path, keys.iter().map(|k| k.repeat(32) + "\n").collect::<String>()).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(mode)).unwrap();
}

/// The line of the node that the test plays, in that life.
fn coded(holder: u64, keys: &[&str]) -> Channel {
    let lines: Vec<String> = keys.iter().map(|k| k.repeat(32)).collect();
    Channel::new(NodeId::of("n0").0, holder, "tidal", Keys::read(&lines.join("\n")).ok().as_ref())
}

impl Fleet {
    fn new(allocators: usize) -> Fleet {
        Fleet::with(allocators, None)
    }

    fn with(allocators: usize, key: Option<&str>) -> Fleet {
        let dir = tempfile::tempdir().unwrap();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let other = fresh().unwrap();
        let places = (0..allocators).map(|k| format!("(divider d{k} \"{}\")", fresh().unwrap()));
        let places: String = places.collect();
        let key = key.map_or(String::new(), |digits| {
            write_keys(&dir.path().join("fleet.key"), &[digits], 0o600);
            "(fleet tidal) (key \"fleet.key\")".to_string()
        });
        let text = format!(
            "(budgets (version 1) (term 1 s) {key} {places} (node n0 \"{}\") (node n1 \"{}\")
               (budget quota:a (whole 100) (reserve 5)))",
            socket.local_addr().unwrap(),
            other
        );
        std::fs::write(dir.path().join("b.sexp"), &text).unwrap();
        let plan = read("b.sexp", &text).unwrap();
        let caller = Caller::default();
        caller.follow(&plan);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let holder = NodeIncarnation { node: NodeId::of("n0"), incarnation: 1 };
        let mut fleet = Fleet {
            dir,
            plan,
            allocators: Vec::new(),
            socket,
            holder,
            count: 0,
            caller,
            runtime,
            line: coded(1, &[]),
        };
        for k in 0..allocators {
            fleet.allocators.push(None);
            fleet.start(k);
        }
        fleet
    }

    fn folder(&self, k: usize) -> PathBuf {
        self.dir.path().join(format!("d{k}"))
    }

    fn command(&self, k: usize) -> Command {
        let mut command = Command::new(PROGRAM);
        command.arg("--budgets").arg(self.dir.path().join("b.sexp")).arg("--state").arg(self.folder(k));
        command.args(["--name", &format!("d{k}")]);
        command
    }

    fn start(&mut self, k: usize) {
        let log = std::fs::File::create(self.dir.path().join(format!("d{k}.log"))).unwrap();
        let drift = ["400", "-400", "0"][k % 3];
        let offset = ["0", "3600", "-3600"][k % 3];
        let mut command = self.command(k);
        command.args([format!("--test-clock-drift={drift}"), format!("--test-clock-offset={offset}")]);
        self.allocators[k] = Some(command.stderr(log).spawn().unwrap());
    }

    fn kill(&mut self, k: usize) {
        let mut child = self.allocators[k].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn logs(&self) -> String {
        let log = |k| std::fs::read_to_string(self.dir.path().join(format!("d{k}.log"))).unwrap_or_default();
        (0..self.allocators.len()).map(|k| format!("d{k}:\n{}\n", log(k))).collect()
    }

    fn status(&self, k: usize) -> Option<Status> {
        let to = NodeId::of(&format!("d{k}"));
        let reply = self.runtime.block_on(self.caller.call(to, &Call::Status, Duration::from_secs(1)));
        if let Ok(Reply::Status(status)) = reply {
            Some(*status)
        } else {
            None
        }
    }

    /// Whom all that run hold for the leader, once they are of one mind.
    fn leader(&self) -> usize {
        let begin = Instant::now();
        while begin.elapsed() < LONG {
            let running = (0..self.allocators.len()).filter(|k| self.allocators[*k].is_some());
            let sent: Vec<Option<String>> = running.map(|k| self.status(k)?.leader).collect();
            if let Some(leader) =
                sent.first().cloned().flatten().filter(|l| sent.iter().all(|s| s.as_ref() == Some(l)))
            {
                let k: usize = leader[1..].parse().unwrap();
                if self.allocators[k].is_some() {
                    return k;
                }
            }
            std::thread::yield_now();
        }
        panic!("nobody leads\n{}", self.logs());
    }

    fn granted(&mut self, demand: u64, in_force: (u32, u64)) -> BudgetGrant {
        self.granted_within(LONG, demand, in_force).unwrap_or_else(|| panic!("no grant\n{}", self.logs()))
    }

    /// Ask every divider until one grants, as a node does; the grant.
    fn granted_within(&mut self, limit: Duration, demand: u64, in_force: (u32, u64)) -> Option<BudgetGrant> {
        let begin = Instant::now();
        self.socket.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        while begin.elapsed() < limit {
            self.count += 1;
            let claim =
                BudgetClaim { budget: "quota:a".into(), answers: self.count, demand, used: 0, in_force };
            let ask = Message::Ask { holder: self.holder, plan: 1, claims: vec![claim] };
            let ask = self.line.seal(ask.bytes());
            for allocator in &self.plan.allocators {
                let _ = self.socket.send_to(&ask, allocator.address);
            }
            let mut buffer = [0; 2_000];
            while let Ok((n, _)) = self.socket.recv_from(&mut buffer) {
                // Membership and dividers that don't lead speak, too.
                let Ok(received) = self.line.open(&buffer[..n], 0) else { continue };
                if let Ok(Message::Grants { grants, .. }) = Message::read(received.sent) {
                    if let Some(grant) = grants.into_iter().find(|g| g.answers == self.count && g.amount > 0)
                    {
                        return Some(grant);
                    }
                }
            }
        }
        None
    }
}

#[test]
fn three_dividers_grant_through_the_loss_of_leaders_and_disks() {
    let mut fleet = Fleet::new(3);
    let begin = Instant::now();
    let first = fleet.granted(30, (0, 0));
    // What an earlier fleet gave may hold for a term.
    assert!(begin.elapsed() >= Duration::from_millis(950), "{:?}", begin.elapsed());
    assert_eq!(first.amount, 90, "the whole less two reserves\n{}", fleet.logs());
    // The leader dies: another goes on with the same fleet and counts what was granted.
    let leader = fleet.leader();
    fleet.kill(leader);
    let second = fleet.granted(30, (first.epoch, first.number));
    assert_eq!(second.epoch, first.epoch);
    assert!(second.number > first.number, "{first:?} {second:?}");
    // It comes back with an empty disk, as another voter, and the fleet holds when one more dies.
    std::fs::remove_dir_all(fleet.folder(leader)).unwrap();
    fleet.start(leader);
    let begin = Instant::now();
    while !fleet.logs().contains("takes part again") {
        assert!(begin.elapsed() < LONG, "{}", fleet.logs());
        std::thread::yield_now();
    }
    let next = fleet.leader();
    fleet.kill(next);
    let third = fleet.granted(30, (second.epoch, second.number));
    assert_eq!(third.epoch, first.epoch, "{}", fleet.logs());
    assert!(third.number > second.number);
    // Two of three are enough, one is not: it doesn't go on alone.
    let last = fleet.leader();
    fleet.kill(last);
    let in_force = (third.epoch, third.number);
    assert_eq!(fleet.granted_within(Duration::from_millis(1_800), 30, in_force), None, "{}", fleet.logs());
    let alone = (0..3).find(|k| fleet.allocators[*k].is_some()).unwrap();
    fleet.start(last);
    let fourth = fleet.granted(30, (third.epoch, third.number));
    assert!(fourth.number > third.number, "with its disk it goes on\n{}", fleet.logs());
    let status = fleet.status(alone).unwrap();
    assert_eq!((status.plan, status.epoch, status.kept.len()), (1, Some(first.epoch), 0));
}

/// What one life was granted is no other's before its term is over, though the fleet is founded anew meanwhile.
#[test]
fn a_fleet_that_lost_all_its_disks_waits_for_a_term() {
    let mut fleet = Fleet::new(1);
    let first = fleet.granted(90, (0, 0));
    let asked = Instant::now();
    fleet.kill(0);
    std::fs::remove_dir_all(fleet.folder(0)).unwrap();
    fleet.start(0);
    fleet.holder.incarnation = 2;
    let second = fleet.granted(90, (0, 0));
    assert!(asked.elapsed() >= Duration::from_millis(990), "{:?}", asked.elapsed());
    assert!(first.epoch != second.epoch && second.amount == 90, "{first:?} {second:?}");
    // The first life's process still runs: by its own clock its grant is over.
    let term = fleet.plan.lease_period(&fleet.plan.budgets[0]);
    let mut holder = Holder::new(NodeIncarnation { incarnation: 1, ..fleet.holder }, 0, term);
    holder.ask(0);
    assert!(holder.accept(
        BudgetGrant { answers: 1, ..first }.to(NodeIncarnation { incarnation: 1, ..fleet.holder }),
        0
    ));
    assert_eq!(holder.usable(asked.elapsed().as_micros() as i64), 0);
}

#[test]
fn what_can_not_be_used_is_said_in_a_line() {
    let fleet = Fleet::new(1);
    let run = |command: &mut Command| {
        let output = command.stdout(Stdio::null()).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let begin = Instant::now();
    while fleet.status(0).is_none() {
        assert!(begin.elapsed() < LONG, "{}", fleet.logs());
    }
    let (code, notified) = run(&mut fleet.command(0));
    assert_eq!(code, Some(1), "{notified}");
    assert!(
        notified.contains("can't be used") && notified.lines().count() == 1,
        "the folder is another's: {notified}"
    );
    let mut stranger = Command::new(PROGRAM);
    stranger.arg("--budgets").arg(fleet.dir.path().join("b.sexp")).args(["--name", "dx", "--state", "x"]);
    let (code, notified) = run(&mut stranger);
    assert!(code == Some(1) && notified.contains("dx is no (divider ...)"), "{notified}");
}

/// Where the file names a key, words without its code, under another and heard before are dropped, counted and told once each; grants
/// stay what they are. Calls of operators carry none.
#[test]
fn only_words_under_the_key_are_heard() {
    let mut fleet = Fleet::with(1, Some(KEY));
    fleet.line = coded(1, &[KEY]);
    let first = fleet.granted(30, (0, 0));
    let allocator = fleet.plan.allocators[0].address;
    // With these the life would hand everything back, were they believed.
    let grants = vec![("quota:a".to_string(), first.epoch, first.number)];
    let sent = Message::Returns { holder: fleet.holder, grants }.bytes();
    let another = Message::Returns {
        holder: NodeIncarnation { node: NodeId::of("n1"), incarnation: 1 },
        grants: Vec::new(),
    };
    let received = fleet.line.seal(another.bytes());
    let mut forged = coded(9, &[OTHER]);
    let before = fleet.granted(30, (first.epoch, first.number));
    fleet.socket.send_to(&received, allocator).unwrap();
    for _ in 0..2 {
        for message in [&sent, &forged.seal(sent.clone()), &received] {
            fleet.socket.send_to(message, allocator).unwrap();
        }
    }
    // The divider has heard all of them before it answers this.
    let after = fleet.granted(30, (before.epoch, before.number));
    assert!(after.number > before.number && after.amount == first.amount, "{after:?}\n{}", fleet.logs());
    let logs = fleet.logs();
    let refused = fleet.status(0).unwrap().refused;
    for why in ["a word without a code", "a word under another key", "a word that was heard before"] {
        assert_eq!(logs.matches(why).count(), 1, "{why}:\n{logs}");
        assert!(refused.iter().any(|(r, n)| r.contains(why) && *n == 2), "{why}: {refused:?}\n{logs}");
    }
    assert!(logs.contains("a word in another's name"), "{logs}");
    // Under another key a node gets nothing; during a change of keys both are heard.
    fleet.line = coded(2, &[OTHER]);
    assert_eq!(fleet.granted_within(Duration::from_millis(300), 30, (0, 0)), None);
    let file = fleet.dir.path().join("fleet.key");
    write_keys(&file, &[OTHER, KEY], 0o600);
    let pid = fleet.allocators[0].as_ref().unwrap().id().to_string();
    assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
    fleet.granted(30, (after.epoch, after.number));
    fleet.line = coded(3, &[KEY, OTHER]);
    fleet.granted(30, (after.epoch, after.number));
    // A file that others may read is none.
    write_keys(&file, &[KEY], 0o640);
    let output = fleet.command(0).output().unwrap();
    let notified = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.code() == Some(1) && notified.contains("0640") && notified.contains("chmod 0600"),
        "{notified}"
    );
}
