//! A site is lost and comes back: three processes of the program, a site each, with servers that serve all they are given.

use crate::support::*;
use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Instant;

/// West lends a fifth of what it bears to one class, and nothing to the other.
const LENDS: &str = "(lend west (class zone-plan (part 20)))";
const SITES: [&str; 3] = ["west", "east", "north"];

struct Files {
    folder: PathBuf,
    server: SocketAddr,
}

impl Files {
    fn new(name: &str, lends: &str) -> Files {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("lending-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let site = |(k, name): (usize, &&str)| {
            format!("(site {name} (node n{k} \"{}\") (bears 100))", unused_address())
        };
        let sites: Vec<String> = SITES.iter().enumerate().map(site).collect();
        let text = format!(
            "(sites (fleet \"odense\") (key \"fleet.key\") (confirm 2 s) (alone 2500 ms) (hold 3 s)\n{} {lends})",
            sites.join("\n")
        );
        std::fs::write(folder.join("sites.sexp"), text).unwrap();
        let key = folder.join("fleet.key");
        std::fs::write(&key, "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677").unwrap();
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
        Files { folder, server: serving() }
    }

    fn start(&self, node: usize) -> Node {
        let mut config = config(&[self.server]);
        config["name"] = format!("n{node}").into();
        config["mgmt"] = "127.0.0.1:0".into();
        // Only sites bound anything here.
        config["settings"]["projects"][0]["quota_rps"] = 100_000.0.into();
        config["settings"]["rules"]["cold_ms"] = 5_000.0.into();
        let (file, state) = (self.folder.join("sites.sexp"), self.folder.join(format!("state-{node}")));
        let messages =
            [PROGRAM, "serve", "-v", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
        Node::start_command(&messages, &config)
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A backend server that serves whatever comes, at once.
fn serving() -> SocketAddr {
    fn attend(stream: TcpStream) -> Option<()> {
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
        listener.incoming().flatten().for_each(|s| drop(std::thread::spawn(|| attend(s))))
    });
    address
}

/// Jobs handed in at once, each on a connection of its own, and their answers. Ids are counted on over all.
fn ask(node: &Node, count: usize, target: &str, home: Option<&str>, ids: &mut usize) -> Vec<Message> {
    let field = home.map_or(String::new(), |h| format!("Home-Site: {h}\r\n"));
    let mut clients: Vec<Connection> = (0..count)
        .map(|_| {
            *ids += 1;
            let mut client = node.client();
            client.send(
                &job(&format!("j{ids}"), target, "5000m", "").replace("Tenant:", &format!("{field}Tenant:")),
            );
            client
        })
        .collect();
    clients.iter_mut().map(Connection::message).collect()
}

fn refusal(answer: &Message) -> (u16, Option<&str>) {
    (answer.status(), answer.field("Refused-Because"))
}

fn seconds(answer: &Message, field: &str) -> Option<f64> {
    answer.field(field).map(|t| t.parse().unwrap())
}

/// What the node lends that class now, in requests a second.
fn lends(node: &Node, class: &str) -> u64 {
    let mut operator = node.operator();
    operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    let text = operator.message().body;
    let start = format!("lends {class} per_s=");
    text.lines().find_map(|l| l.strip_prefix(&start)).unwrap_or_else(|| panic!("{text}")).parse().unwrap()
}

/// Guests ask in three bunches, and on until so many were refused. How many were served, while so much was allowed at most.
fn guests_bound(node: &Node, rate: u64, least: u64, ids: &mut usize) -> usize {
    let (begin, mut served, mut refused, mut bunches) = (Instant::now(), 0, 0, 0);
    while refused < least || bunches < 3 {
        bunches += 1;
        assert!(begin.elapsed() < TEST_TIMEOUT, "{served} served, {refused} refused");
        for answer in ask(node, 40, "/zone-plan", Some("east"), ids) {
            if answer.status() == 200 {
                served += 1;
                continue;
            }
            assert_eq!(refusal(&answer), (503, Some("guest part used")));
            let wait = seconds(&answer, "Retry-After").unwrap();
            assert!((0.5..=2.0).contains(&wait), "{wait}");
            refused += 1;
        }
        // Home load is what names no site, its own, or one that nobody knows.
        for home in [None, Some("west"), Some("nowhere")] {
            let all = ask(node, 10, "/zone-plan", home, ids);
            assert!(all.iter().all(|a| a.status() == 200), "{home:?}: {all:?}");
        }
        let most = rate as f64 * (begin.elapsed().as_secs_f64() + 0.25) + 1.0;
        assert!(served as f64 <= most, "{served} of {most} were served");
    }
    served
}

/// While no site is lost, guests have what is lent; once east is lost they have what is spare besides, as far as it was asked for.
/// Beyond that they are refused at once with the reason, and home load is served all the while.
#[rstest]
fn guests_of_a_lost_site_are_served_up_to_their_part_and_home_load_is_not_touched() {
    let (files, mut ids) = (Files::new("lost", LENDS), 0);
    let [west, east, _north] = [0, 1, 2].map(|k| files.start(k));
    west.logs("sites: this is n0 of west");
    let begin = Instant::now();
    // Nothing before it has servers.
    while lends(&west, "zone-plan") == 0 {
        assert!(begin.elapsed() < TEST_TIMEOUT, "nothing is lent");
    }
    assert_eq!((lends(&west, "zone-plan"), lends(&west, "actuator-cmd")), (20, 0));
    guests_bound(&west, 20, 40, &mut ids);
    let begin = Instant::now();
    let answer = ask(&west, 1, "/actuator-cmd", Some("east"), &mut ids).remove(0);
    assert_eq!(refusal(&answer), (503, Some("guest part used")));
    assert!(begin.elapsed() < TEST_TIMEOUT / 4);
    // What east is asked for is told before it is lost.
    let begin = Instant::now();
    while begin.elapsed().as_millis() < 2_500 {
        assert!(ask(&east, 30, "/zone-plan", None, &mut ids).iter().all(|a| a.status() == 200));
        ask(&west, 1, "/zone-plan", None, &mut ids);
    }
    drop(east);
    west.logs("site east Lost");
    let begin = Instant::now();
    while lends(&west, "zone-plan") <= 20 {
        assert!(begin.elapsed() < TEST_TIMEOUT, "nothing spare is lent");
    }
    let rate = lends(&west, "zone-plan");
    assert!((21..=100).contains(&rate), "{rate}");
    assert_eq!(lends(&west, "actuator-cmd"), 0);
    assert!(guests_bound(&west, 100, 0, &mut ids) > 0);
}

/// A site that was lost takes its own clients' load in steps, the others see it return and be whole, and guests are told to go home.
#[rstest]
fn a_site_that_returns_takes_its_load_in_steps() {
    let (files, mut ids) = (Files::new("return", LENDS), 0);
    let [west, east, north] = [0, 1, 2].map(|k| files.start(k));
    // Others have heard it before it is lost.
    for node in [&east, &west, &north] {
        node.logs("guarded work is taken");
    }
    drop(east);
    west.logs("site east Lost");
    let east = files.start(1);
    east.logs("load recovery east begins part=20");
    let mut refused = 0;
    for answer in ask(&east, 60, "/zone-plan", None, &mut ids) {
        if answer.status() != 200 {
            assert_eq!(refusal(&answer), (503, Some("site returning")));
            assert!((0.5..=2.0).contains(&seconds(&answer, "Retry-After").unwrap()));
            refused += 1;
        }
    }
    assert!(refused > 0, "all were served at the first step");
    // It lends nothing meanwhile.
    let answer = ask(&east, 1, "/zone-plan", Some("west"), &mut ids).remove(0);
    assert_eq!(refusal(&answer), (503, Some("guest part used")));
    west.logs("site east Returning");
    let begin = Instant::now();
    while !ask(&west, 1, "/zone-plan", Some("east"), &mut ids).iter().any(|a| a.field("Come-Back").is_some())
    {
        assert!(begin.elapsed() < TEST_TIMEOUT, "no guest is told to go home");
    }
    let lines = east.logs_until("load recovery east part=100 before=100");
    let steps = lines
        .iter()
        .filter_map(|l| l.split("load recovery east part=").nth(1)?.split(' ').next()?.parse().ok());
    let steps: Vec<u8> = steps.collect();
    assert!(steps.is_sorted() && steps.len() >= 4, "{lines:?}");
    west.logs("site east WholeAgain");
    let answers = ask(&east, 60, "/zone-plan", None, &mut ids);
    assert!(answers.iter().all(|a| a.status() == 200), "all is taken again");
}

/// A file that lends nothing anywhere tells guests from nobody.
#[rstest]
fn where_nothing_is_lent_at_all_guests_are_home_load() {
    let (files, mut ids) = (Files::new("none", ""), 0);
    let west = files.start(0);
    let answers = ask(&west, 60, "/zone-plan", Some("east"), &mut ids);
    assert!(answers.iter().all(|a| a.status() == 200), "{answers:?}");
}
