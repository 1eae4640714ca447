//! Spillover to other sites and load recovery while a site is lost and returns: three sites with a node each.

use crate::support::*;
use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Instant;

/// West offers a fifth of its capacity to remote requests of one class, and none to the other.
const SPILLOVER_CLAUSE: &str = "(lend west (class zone-plan (part 20)))";
const SITES: [&str; 3] = ["west", "east", "north"];

struct Files {
    folder: PathBuf,
    server: SocketAddr,
}

impl Files {
    fn new(name: &str, spillover_clause: &str) -> Files {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("spillover-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let site = |(k, name): (usize, &&str)| {
            format!("(site {name} (node n{k} \"{}\") (bears 100))", unused_address())
        };
        let sites: Vec<String> = SITES.iter().enumerate().map(site).collect();
        let text = format!(
            "(sites (fleet \"odense\") (key \"fleet.key\") (confirm 2 s) (alone 2500 ms) (hold 3 s)\n{} {spillover_clause})",
            sites.join("\n")
        );
        std::fs::write(folder.join("sites.sexp"), text).unwrap();
        let key = folder.join("fleet.key");
        std::fs::write(&key, "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677").unwrap();
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
        Files { folder, server: start_backend() }
    }

    fn start(&self, node: usize) -> Node {
        let mut config = config(&[self.server]);
        config["name"] = format!("n{node}").into();
        config["mgmt"] = "127.0.0.1:0".into();
        // Keeps the tenant's quota from limiting the load.
        config["settings"]["projects"][0]["quota_rps"] = 100_000.0.into();
        config["settings"]["rules"]["cold_ms"] = 5_000.0.into();
        let (file, state) = (self.folder.join("sites.sexp"), self.folder.join(format!("state-{node}")));
        let arguments =
            [PROGRAM, "serve", "-v", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
        Node::start_command(&arguments, &config)
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a backend server that serves every request at once.
fn start_backend() -> SocketAddr {
    fn serve_connection(stream: TcpStream) -> Option<()> {
        let (mut lines, mut stream) = (BufReader::new(stream.try_clone().ok()?).lines(), stream);
        loop {
            let mut id = None;
            loop {
                let line = lines.next()?.ok()?;
                id = id.or(line.strip_prefix("Request-Id: ").map(str::to_string));
                if line.is_empty() {
                    break;
                }
            }
            let line = |state| {
                format!("{{\"id\":\"{}\",\"from\":\"s\",\"state\":{state}}}\n", id.as_deref().unwrap_or(""))
            };
            let body = line("\"started\"") + &line("\"done\",\"result\":\"1\"");
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).ok()?;
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        listener.incoming().flatten().for_each(|s| drop(std::thread::spawn(|| serve_connection(s))))
    });
    address
}

/// Sends jobs at once, each on its own connection, and returns their responses; `last_id` numbers the jobs of a test.
fn send_jobs(
    node: &Node,
    count: usize,
    target: &str,
    home_site: Option<&str>,
    last_id: &mut usize,
) -> Vec<Message> {
    let field = home_site.map_or(String::new(), |h| format!("Home-Site: {h}\r\n"));
    let mut clients: Vec<Connection> = (0..count)
        .map(|_| {
            *last_id += 1;
            let mut client = node.client();
            client.send(
                &job(&format!("j{last_id}"), target, "5000m", "")
                    .replace("Tenant:", &format!("{field}Tenant:")),
            );
            client
        })
        .collect();
    clients.iter_mut().map(Connection::message).collect()
}

/// Returns the status and the `Refused-Because` field of a response.
fn refusal(answer: &Message) -> (u16, Option<&str>) {
    (answer.status(), answer.field("Refused-Because"))
}

fn seconds(answer: &Message, field: &str) -> Option<f64> {
    answer.field(field).map(|t| t.parse().unwrap())
}

/// Returns the current spillover rate of a class at the node, in requests per second.
fn spillover_rate(node: &Node, class: &str) -> u64 {
    let mut operator = node.operator();
    operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    let text = operator.message().body;
    let start = format!("lends {class} per_s=");
    text.lines().find_map(|l| l.strip_prefix(&start)).unwrap_or_else(|| panic!("{text}")).parse().unwrap()
}

/// Sends remote requests in at least three batches until `min_rejected` are rejected; checks the rate limit and that local requests
/// are served. Returns how many remote requests were served.
fn check_remote_limit(node: &Node, rate: u64, min_rejected: u64, last_id: &mut usize) -> usize {
    let (begin, mut served, mut rejected, mut batches) = (Instant::now(), 0, 0, 0);
    while rejected < min_rejected || batches < 3 {
        batches += 1;
        assert!(begin.elapsed() < TEST_TIMEOUT, "{served} served, {rejected} rejected");
        for answer in send_jobs(node, 40, "/zone-plan", Some("east"), last_id) {
            if answer.status() == 200 {
                served += 1;
                continue;
            }
            assert_eq!(refusal(&answer), (503, Some("guest part used")));
            let wait = seconds(&answer, "Retry-After").unwrap();
            assert!((0.5..=2.0).contains(&wait), "{wait}");
            rejected += 1;
        }
        // A request is local if it names no site, its own site or an unknown one.
        for home_site in [None, Some("west"), Some("nowhere")] {
            let responses = send_jobs(node, 10, "/zone-plan", home_site, last_id);
            assert!(responses.iter().all(|a| a.status() == 200), "{home_site:?}: {responses:?}");
        }
        let limit = rate as f64 * (begin.elapsed().as_secs_f64() + 0.25) + 1.0;
        assert!(served as f64 <= limit, "{served} served, the limit is {limit}");
    }
    served
}

/// Remote requests get the configured rate, and spare capacity as well while their site is lost. Beyond that they are rejected at
/// once, and local requests stay unaffected.
#[rstest]
fn remote_requests_are_limited_and_local_requests_are_served() {
    let (files, mut last_id) = (Files::new("lost", SPILLOVER_CLAUSE), 0);
    let [west, east, _north] = [0, 1, 2].map(|k| files.start(k));
    west.logs("sites: this is n0 of west");
    let begin = Instant::now();
    // The rate is zero before the endpoint list is known.
    while spillover_rate(&west, "zone-plan") == 0 {
        assert!(begin.elapsed() < TEST_TIMEOUT, "the spillover rate stays zero");
    }
    assert_eq!((spillover_rate(&west, "zone-plan"), spillover_rate(&west, "actuator-cmd")), (20, 0));
    check_remote_limit(&west, 20, 40, &mut last_id);
    let begin = Instant::now();
    let answer = send_jobs(&west, 1, "/actuator-cmd", Some("east"), &mut last_id).remove(0);
    assert_eq!(refusal(&answer), (503, Some("guest part used")));
    assert!(begin.elapsed() < TEST_TIMEOUT / 4);
    // East reports its demand before it is lost.
    let begin = Instant::now();
    while begin.elapsed().as_millis() < 2_500 {
        assert!(send_jobs(&east, 30, "/zone-plan", None, &mut last_id).iter().all(|a| a.status() == 200));
        send_jobs(&west, 1, "/zone-plan", None, &mut last_id);
    }
    drop(east);
    west.logs("site east Lost");
    let begin = Instant::now();
    while spillover_rate(&west, "zone-plan") <= 20 {
        assert!(begin.elapsed() < TEST_TIMEOUT, "no spare capacity is offered");
    }
    let rate = spillover_rate(&west, "zone-plan");
    assert!((21..=100).contains(&rate), "{rate}");
    assert_eq!(spillover_rate(&west, "actuator-cmd"), 0);
    assert!(check_remote_limit(&west, 100, 0, &mut last_id) > 0);
}

/// A returning site ramps up its own load; the others see it return and recover, and send its clients back.
#[rstest]
fn returning_site_takes_its_load_in_steps() {
    let (files, mut last_id) = (Files::new("return", SPILLOVER_CLAUSE), 0);
    let [west, east, north] = [0, 1, 2].map(|k| files.start(k));
    // The other sites receive east's reports before it is lost.
    for node in [&east, &west, &north] {
        node.logs("guarded work is taken");
    }
    drop(east);
    west.logs("site east Lost");
    let east = files.start(1);
    east.logs("load recovery east begins part=20");
    let mut rejected = 0;
    for answer in send_jobs(&east, 60, "/zone-plan", None, &mut last_id) {
        if answer.status() != 200 {
            assert_eq!(refusal(&answer), (503, Some("site returning")));
            assert!((0.5..=2.0).contains(&seconds(&answer, "Retry-After").unwrap()));
            rejected += 1;
        }
    }
    assert!(rejected > 0, "the first recovery step rejected nothing");
    // A recovering site accepts no remote requests.
    let answer = send_jobs(&east, 1, "/zone-plan", Some("west"), &mut last_id).remove(0);
    assert_eq!(refusal(&answer), (503, Some("guest part used")));
    west.logs("site east Returning");
    let begin = Instant::now();
    while !send_jobs(&west, 1, "/zone-plan", Some("east"), &mut last_id)
        .iter()
        .any(|a| a.field("Come-Back").is_some())
    {
        assert!(begin.elapsed() < TEST_TIMEOUT, "no remote client is sent back");
    }
    let lines = east.logs_until("load recovery east part=100 before=100");
    let steps = lines
        .iter()
        .filter_map(|l| l.split("load recovery east part=").nth(1)?.split(' ').next()?.parse().ok());
    let steps: Vec<u8> = steps.collect();
    assert!(steps.is_sorted() && steps.len() >= 4, "{lines:?}");
    west.logs("site east WholeAgain");
    let answers = send_jobs(&east, 60, "/zone-plan", None, &mut last_id);
    assert!(answers.iter().all(|a| a.status() == 200), "the recovered site still rejects requests");
}

/// Without a spillover clause remote requests count as local ones.
#[rstest]
fn without_spillover_clauses_remote_requests_are_local() {
    let (files, mut last_id) = (Files::new("none", ""), 0);
    let west = files.start(0);
    let answers = send_jobs(&west, 60, "/zone-plan", Some("east"), &mut last_id);
    assert!(answers.iter().all(|a| a.status() == 200), "{answers:?}");
}
