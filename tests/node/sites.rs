//! Nodes of several sites: two processes of the program, with the operators' files between them.

pub use crate::support::site_files::{sign, SiteFiles, KEY};
use crate::support::*;
use rstest::rstest;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Wait until an operator is told that.
pub fn shows(node: &Node, text: &str) {
    let begin = Instant::now();
    loop {
        let mut operator = node.operator();
        operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        let body = operator.message().body;
        if body.contains(text) {
            return;
        }
        assert!(begin.elapsed() < TEST_TIMEOUT, "no {text} in {body}");
    }
}

/// What an operator is told of the history that a node has.
fn history(node: &Node) -> String {
    let mut operator = node.operator();
    operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    let text = operator.message().body;
    let line = text.lines().find(|l| l.starts_with("placements")).unwrap().to_string();
    let of = |w: &&str| ["all=", "sealed=", "digest="].iter().any(|name| w.starts_with(name));
    line.split(' ').filter(of).collect::<Vec<_>>().join(" ")
}

/// A server that serves all that comes.
pub fn serves(mut peer: Connection) {
    while peer.receives_data() {
        let id = peer.id();
        peer.serve(&id, "1");
    }
}

/// The connection on which a job comes: a new one, or one that was kept.
pub fn comes(server: &TestServer, mut kept: Option<Connection>) -> Connection {
    let begin = Instant::now();
    loop {
        assert!(begin.elapsed() < TEST_TIMEOUT, "nobody came");
        if let Some(peer) = server.try_accept() {
            return peer;
        }
        let Some(peer) = &mut kept else { return server.accept() };
        if !peer.is_silent_for(Duration::from_millis(10)) && !peer.ends_without_data() {
            break;
        }
    }
    kept.take().unwrap_or_else(|| server.accept())
}

pub fn refusal(answer: &Message) -> (u16, Option<&str>) {
    (answer.status(), answer.field("Refused-Because"))
}

/// The file that closes an account is handed to one node alone. The other refuses the account's new work as well; what either had taken
/// runs to its one final answer, and so does a client's repeat of it. Reopened, the account is served again.
#[rstest]
fn new_work_of_a_closing_account_is_refused_at_both_sites_and_running_work_is_finished() {
    let (files, servers) = (SiteFiles::new("closing"), [TestServer::new(), TestServer::new()]);
    let nodes = [0, 1].map(|k| files.start(k, &servers[k]));
    nodes.iter().for_each(|n| drop(n.logs("standing is confirmed")));
    let mut clients = [0, 1].map(|k| nodes[k].send_job(&format!("before-{k}"), "/actuator-cmd"));
    let mut backends = [0, 1].map(|k| servers[k].accept());
    backends.iter_mut().for_each(|b| drop(b.message()));
    files.write_accounts(0, 2, "(account acme (standing closing) (reason \"unpaid\"))");
    nodes[0].reload();
    for node in &nodes {
        node.logs("account acme Closing number=2");
        let answer = node.send_job("after", "/zone-plan").message();
        assert_eq!(refusal(&answer), (403, Some("account closing")));
        assert_eq!(answer.field("Retry-After"), None);
    }
    for k in 0..2 {
        backends[k].serve(&format!("before-{k}"), "done");
        assert_eq!(clients[k].message().body, "done");
        // A client's repeat under the id of what was taken is running work; one of what was refused is not.
        let mut again = nodes[k].send_job(&format!("before-{k}"), "/zone-plan");
        assert_eq!(backends[k].message().field("Request-Id"), Some(format!("before-{k}").as_str()));
        backends[k].serve(&format!("before-{k}"), "again");
        assert_eq!(again.message().body, "again");
        assert_eq!(nodes[k].send_job("after", "/zone-plan").message().status(), 403);
    }
    files.write_accounts(1, 3, "(account acme (standing reopened))");
    nodes[1].reload();
    for k in 0..2 {
        nodes[k].logs("account acme Reopened number=3");
        let mut client = nodes[k].send_job("reopened", "/zone-plan");
        assert_eq!(backends[k].message().field("Request-Id"), Some("reopened"));
        backends[k].serve("reopened", "1");
        assert_eq!(client.message().status(), 200);
    }
    assert!(servers.iter().all(|s| s.has_no_connection()));
}

/// Work that another node took before an account was closed is running work here as well, once its placement is known here: a guarded repeat
/// is told what became of it, a free one is served. Nothing else is.
#[rstest]
fn a_repeat_of_running_work_is_known_at_other_nodes() {
    let (files, servers) = (SiteFiles::new("elsewhere"), [TestServer::new(), TestServer::new()]);
    let nodes = [0, 1].map(|k| files.start(k, &servers[k]));
    nodes.iter().for_each(|n| drop(n.logs("standing is confirmed")));
    servers.into_iter().for_each(|s| s.handle_connections(serves));
    let mut guarded = nodes[0].send_job("guarded", "/actuator-cmd");
    let mut free = nodes[0].send_job("free", "/zone-plan");
    assert_eq!((guarded.message().status(), free.message().status()), (200, 200));
    files.write_accounts(1, 2, "(account acme (standing closing))");
    nodes[1].reload();
    nodes[1].logs("account acme Closing number=2");
    for (id, class, wanted) in [
        ("guarded", "/actuator-cmd", (409, Some("served before"))),
        ("free", "/zone-plan", (200, None)),
        ("new", "/zone-plan", (403, Some("account closing"))),
    ] {
        let begin = Instant::now();
        loop {
            let answer = nodes[1].send_job(id, class).message();
            if refusal(&answer) == wanted {
                break;
            }
            // Until its placement is known here it is new.
            let notified = [(403, Some("account closing")), (502, Some("may have run"))];
            assert!(
                notified.contains(&refusal(&answer)) && begin.elapsed() < TEST_TIMEOUT,
                "{id}: {answer:?}"
            );
        }
    }
}

/// A closed account's held work is answered, and files that are not believed change nothing: an older one, one without its code, one under
/// another key.
#[rstest]
fn a_file_of_accounts_that_is_not_believed_changes_nothing() {
    let (files, server) = (SiteFiles::new("believed"), TestServer::new());
    let node = files.start(0, &server);
    files.write_accounts(0, 7, "(account acme (standing closed))");
    node.reload();
    node.logs("account acme Closed number=7");
    assert_eq!(refusal(&node.send_job("a", "/zone-plan").message()), (403, Some("account closed")));
    files.write_accounts(0, 5, "(account acme (standing good))");
    node.reload();
    node.logs("OldFile");
    let path = files.node_folder(0).join("accounts.sexp");
    std::fs::write(&path, "(accounts (number 9) (account acme (standing good)))").unwrap();
    node.reload();
    node.logs("the authentication code does not match this file");
    std::fs::remove_file(path.with_extension("sexp.hmac")).unwrap();
    node.reload();
    node.logs("the old files of sites and accounts stay");
    assert_eq!(refusal(&node.send_job("b", "/zone-plan").message()), (403, Some("account closed")));
    assert!(server.has_no_connection());
}

/// The newest file of sites that was ever in force is remembered: an older one changes nothing, another one of its version neither, nor an
/// older word that a site is lost; and no node starts by one of them.
#[rstest]
fn an_older_file_of_sites_is_refused_also_by_the_next_process() {
    let (files, server) = (SiteFiles::new("older"), TestServer::new());
    files.write_sites(0, 3, "(lost east (number 4))");
    let mut node = files.start(0, &server);
    let lost = |node: &Node| {
        let mut operator = node.operator();
        operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        operator.message().body.contains("site east Lost")
    };
    node.logs("site east Lost");
    for (version, more, notified) in [
        (2, "", "the file has (version 2), and this node has already used version 3"),
        (3, "", "the file differs from the one of (version 3)"),
        (
            4,
            "(lost east (number 3))",
            "the file declares east lost by number 3, and number 4 was declared before",
        ),
    ] {
        files.write_sites(0, version, more);
        node.reload();
        let line = node.logs("the old files of sites and accounts stay");
        assert!(line.contains(notified) && line.contains("greater"), "{line}");
        assert!(lost(&node));
    }
    files.write_sites(0, 4, "");
    node.reload();
    node.logs("read again: version 4");
    node.terminate();
    node.exit();
    let begins = |version, more| {
        files.write_sites(0, version, more);
        let (file, state) = (files.node_folder(0).join("sites.sexp"), files.node_folder(0).join("state"));
        let messages =
            [PROGRAM, "serve", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
        let out = command(&messages, &config(&[server.address]).to_string()).output().unwrap();
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).to_string()
    };
    let text = begins(3, "(lost east (number 4))");
    assert!(text.contains("the file has (version 3), and this node has already used version 4"), "{text}");
    let text = begins(5, "(lost east (number 4))");
    assert!(text.contains("the file declares east lost by number 4"), "{text}");
    files.write_sites(0, 5, "(lost east (number 5))");
    let node = files.start(0, &server);
    node.logs("site east Lost");
}

/// Two files of one version at two sites, and a newer one at one of them: each tells of the other.
#[rstest]
fn nodes_tell_of_other_files_of_sites_than_their_own() {
    let (files, servers) = (SiteFiles::new("two-files"), [TestServer::new(), TestServer::new()]);
    files.write_sites(1, 1, "(seal 9 min)");
    let nodes = [0, 1].map(|k| files.start(k, &servers[k]));
    nodes[0].logs("n1 uses another file with version 1 than this node");
    nodes[1].logs("n0 uses another file with version 1 than this node");
    files.write_sites(1, 2, "");
    nodes[1].reload();
    nodes[0].logs("n1 uses version 2 of the sites file, this node uses 1");
}

/// Whoever is refused for want of confirmation is told to stay away for as long as the settings allow to advise, if at all.
#[rstest]
#[case::usual(true, 2_000.0, Some(2.0))]
#[case::short(true, 300.0, Some(0.3))]
#[case::never(false, 2_000.0, None)]
fn who_is_refused_is_advised_as_the_settings_allow(
    #[case] allowed: bool,
    #[case] most: f64,
    #[case] advice: Option<f64>,
) {
    let files = SiteFiles::new(&format!("advice-{allowed}-{most}"));
    files.write_sites(0, 2, "(credit acme (jobs 8) (reserve 2) (shrink 1 h))");
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["settings"]["allowed"]["retry_after"] = allowed.into();
    config["settings"]["allowed"]["max_retry_after_ms"] = most.into();
    let node = files.start_with(0, config, &[]);
    let answer = node.send_job("a", "/zone-plan").message();
    assert_eq!(refusal(&answer), (503, Some("standing not confirmed")));
    assert_eq!(answer.field("Retry-After").map(|t| t.parse().unwrap()), advice);
    assert!(server.has_no_connection());
}

/// A site that is alone begins so much on unconfirmed standing and no more, also after a restart; linked again, all is as before.
#[rstest]
fn a_site_alone_keeps_to_its_credit_also_over_a_restart() {
    let (files, servers) = (SiteFiles::new("credit"), [TestServer::new(), TestServer::new()]);
    for node in 0..2 {
        files.write_sites(node, 2, "(credit acme (jobs 8) (reserve 2) (shrink 1 h))");
    }
    let mut node = files.start(0, &servers[0]);
    let other = files.start(1, &servers[1]);
    node.logs("standing is confirmed");
    drop(other);
    node.logs("standing can't be confirmed");
    let mut backend = None;
    let mut served = |node: &Node, name: &str| {
        let mut count = 0;
        for k in 0..10 {
            let id = format!("{name}{k}");
            let mut client = node.send_job(&id, "/zone-plan");
            let begin = Instant::now();
            if count < 4 {
                let backend = backend.get_or_insert_with(|| servers[0].accept());
                backend.message();
                backend.serve(&id, "1");
                assert_eq!(client.message().status(), 200);
                count += 1;
                continue;
            }
            let answer = client.message();
            assert!(begin.elapsed() < TEST_TIMEOUT / 4);
            assert_eq!(refusal(&answer), (503, Some("standing not confirmed")));
            assert!(answer.field("Retry-After").is_some());
        }
    };
    served(&node, "alone");
    node.terminate();
    node.exit();
    drop(node);
    let node = files.start(0, &servers[0]);
    for k in 0..3 {
        let answer = node.send_job(&format!("again{k}"), "/zone-plan").message();
        assert_eq!(refusal(&answer), (503, Some("standing not confirmed")));
    }
    let _other = files.start(1, &servers[1]);
    node.logs("standing is confirmed");
    let mut client = node.send_job("linked", "/zone-plan");
    let mut backend = servers[0].accept();
    backend.message();
    backend.serve("linked", "1");
    assert_eq!(client.message().status(), 200);
}

/// A disk that is full as the node starts, with an empty folder and with one that it has used and left, or was killed with: guarded work is refused, and so is what
/// needs credit; the rest is served. What was known still is, and once there is room all is as before, without a restart.
#[rstest]
#[case::empty(false, false)]
#[case::used(true, false)]
#[case::killed(true, true)]
fn a_node_starts_on_a_full_disk_and_recovers_when_there_is_room(#[case] used: bool, #[case] killed: bool) {
    let (files, server) = (SiteFiles::new(&format!("full-{used}-{killed}")), TestServer::new());
    files.write_sites(0, 2, "(credit acme (jobs 8) (reserve 8))");
    files.write_sites(1, 2, "(credit acme (jobs 8) (reserve 8))");
    let other = files.start(1, &TestServer::new());
    // A node keeps its connection for the next job.
    let mut backend: Option<Connection> = None;
    let mut serve = |node: &Node, id: &str, class: &str| {
        let mut client = node.send_job(id, class);
        let mut peer = comes(&server, backend.take());
        assert_eq!(peer.id(), id);
        peer.serve(id, "1");
        assert_eq!(client.message().status(), 200);
        backend = Some(peer);
    };
    if used {
        let mut node = files.start(0, &server);
        node.logs("standing is confirmed");
        serve(&node, "before", "/actuator-cmd");
        let begin = Instant::now();
        while !history(&node).starts_with("all=2 ") {
            assert!(begin.elapsed() < TEST_TIMEOUT, "{}", history(&node));
        }
        if !killed {
            node.terminate();
            node.exit();
        }
    }
    let node = files.start_on_full_disk(0, &server);
    let begin = Instant::now();
    while refusal(&node.send_job("new", "/actuator-cmd").message())
        != (503, Some("placements can't be recorded"))
    {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    if used {
        assert_eq!(
            refusal(&node.send_job("before", "/actuator-cmd").message()),
            (409, Some("served before"))
        );
    }
    shows(&node, "standing confirmed");
    serve(&node, "free", "/zone-plan");
    drop(other);
    shows(&node, "standing not confirmed");
    let answer = node.send_job("credit", "/zone-plan").message();
    assert_eq!(refusal(&answer), (503, Some("standing not confirmed, disk not written")));
    node.lift_file_size_limit();
    node.logs("the disk accepts writes again");
    let other = files.start(1, &TestServer::new());
    shows(&node, "standing confirmed");
    // It was refused, and surely never ran.
    serve(&node, "new", "/actuator-cmd");
    // What others are told is on the disk: the next process knows it.
    let begin = Instant::now();
    while refusal(&other.send_job("new", "/actuator-cmd").message()) != (409, Some("served before")) {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    drop(node);
    let node = files.start(0, &server);
    node.logs("guarded work is taken");
    for id in ["new", "before"].iter().take(1 + usize::from(used)) {
        assert_eq!(refusal(&node.send_job(id, "/actuator-cmd").message()), (409, Some("served before")));
    }
    assert!(server.has_no_connection());
}

/// A folder that another process has, a file that lists somebody else, keys that others may read: each ends the start with one line.
#[rstest]
#[case::unlisted("n7", 0o600, "n7 is no (node ...) of a site")]
#[case::open_key("n0", 0o644, "others may read or change it")]
#[case::second("n0", 0o600, "another process has it")]
fn a_node_that_can_not_take_part_does_not_start(
    #[case] name: &str,
    #[case] mode: u32,
    #[case] notified: &str,
) {
    let (files, server) =
        (SiteFiles::new(&format!("start-{name}-{mode}-{}", notified.len())), TestServer::new());
    let _first = files.start(0, &server);
    std::fs::set_permissions(files.node_folder(0).join("fleet.key"), std::fs::Permissions::from_mode(mode))
        .unwrap();
    let mut config = config(&[server.address]);
    config["name"] = name.into();
    let (file, state) = (files.node_folder(0).join("sites.sexp"), files.node_folder(0).join("state"));
    let messages = [PROGRAM, "serve", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
    let out = command(&messages, &config.to_string()).output().unwrap();
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && text.contains(notified), "{text}");
}

/// The whole is checked before it is put into service, and what the settings don't know is named.
#[rstest]
#[case::good("", "", true, "east: 1 nodes, bears 100 a second")]
#[case::strange_tenant("(credit fyn (jobs 8))", "", false, "the settings know nothing of fyn")]
#[case::strange_class("(home valve)", "", false, "the settings know nothing of valve")]
#[case::twice("(site east (node n1 \"127.0.0.1:1\"))", "", false, "sites.sexp:3:")]
#[case::accounts("", "(account acme (standing shut))", false, "accounts.sexp:1:")]
fn check_tells_what_is_wrong_with_the_files(
    #[case] sites: &str,
    #[case] accounts: &str,
    #[case] good: bool,
    #[case] notified: &str,
) {
    let files = SiteFiles::new(&format!("check-{}-{}", sites.len(), accounts.len()));
    files.write_sites(0, 1, sites);
    files.write_accounts(0, 1, accounts);
    let file = files.node_folder(0).join("sites.sexp");
    let messages = [PROGRAM, "check", "--sites", file.to_str().unwrap()];
    let out = command(&messages, &config(&[]).to_string()).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() == good && text.contains(notified), "{text}");
}

/// The files that operators begin with, once they have made a key and signed them.
#[test]
fn check_takes_the_files_to_begin_with() {
    let files = SiteFiles::new("deploy");
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    for name in ["sites.sexp", "accounts.sexp"] {
        let (text, path) =
            (std::fs::read_to_string(deploy.join(name)).unwrap(), files.node_folder(0).join(name));
        std::fs::write(&path, &text).unwrap();
        sign(&path, &text);
    }
    let mut config = config(&[]);
    let mut class = config["settings"]["classes"][0].clone();
    class["name"] = "sensor-check".into();
    config["settings"]["classes"].as_array_mut().unwrap().push(class);
    let info = &mut config["settings"]["family_info"];
    info["class_kind"] = serde_json::json!([-1, -1, -1]);
    info["class_stretch"] = serde_json::json!([2.0, 2.0, 2.0]);
    let tenant = |name| serde_json::json!({"name": name, "portion": 0.5, "quota_rps": 50.0});
    config["settings"]["projects"] = ["fyn-gartnerier", "sjaelland-syd"].map(tenant).to_vec().into();
    let file = files.node_folder(0).join("sites.sexp");
    let messages = [PROGRAM, "check", "--sites", file.to_str().unwrap()];
    let out = command(&messages, &config.to_string()).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() && text.contains("sjaelland-syd: Closing by file 12"), "{text}");
}

/// What must not run twice is not run twice: a repeat of what was served, of what may have run, and of what was on its way when the
/// process was killed. What surely never ran may be asked for again.
#[rstest]
fn a_guarded_key_is_not_placed_again_also_by_the_next_process() {
    let (files, server) = (SiteFiles::new("guarded"), TestServer::new());
    let other = files.start(1, &TestServer::new());
    let node = files.start(0, &server);
    node.logs("guarded work is taken");
    let ask = |node: &Node, id: &str| {
        let mut client = node.client();
        let key = id.split('-').next().unwrap();
        client.send(
            &job(id, "/actuator-cmd", "5000m", "")
                .replace("Tenant:", &format!("Idempotency-Key: {key}\r\nTenant:")),
        );
        client
    };
    let mut client = ask(&node, "served");
    let mut backend = server.accept();
    backend.message();
    backend.serve("served", "1");
    assert_eq!(client.message().status(), 200);
    assert_eq!(refusal(&ask(&node, "served-again").message()), (409, Some("served before")));
    let mut client = ask(&node, "lost");
    // Not where an answer has just come, a second one could be taken for this one's; where that is some time ago, there.
    let mut backend = comes(&server, Some(backend));
    backend.message();
    drop(backend);
    assert_eq!(client.message().status(), 502);
    assert_eq!(refusal(&ask(&node, "lost-again").message()), (502, Some("may have run")));
    let mut client = ask(&node, "killed");
    let mut backend = server.accept();
    backend.message();
    // Not by SIGTERM: it has no time to write anything more.
    drop(node);
    assert!(client.is_closed());
    let node = files.start(0, &server);
    node.logs("guarded work is taken");
    for (id, notified) in [
        ("served", (409, "served before")),
        ("lost", (502, "may have run")),
        ("killed", (502, "may have run")),
    ] {
        let answer = ask(&node, &format!("{id}-later")).message();
        assert_eq!(refusal(&answer), (notified.0, Some(notified.1)), "{id}");
    }
    let mut client = ask(&node, "new");
    let mut backend = server.accept();
    assert_eq!(backend.message().field("Request-Id"), Some("new"));
    backend.serve("new", "1");
    assert_eq!(client.message().status(), 200);
    assert!(server.has_no_connection());
    // The other site was told meanwhile: it does not place them either, and both have one history.
    let begin = Instant::now();
    // Four placements and their ends.
    while history(&node) != history(&other) || !history(&node).starts_with("all=8 ") {
        assert!(begin.elapsed() < TEST_TIMEOUT, "{} and {}", history(&node), history(&other));
    }
    for id in ["served", "lost", "killed", "new"] {
        let answer = ask(&other, &format!("{id}-elsewhere")).message();
        let notified =
            if ["served", "new"].contains(&id) { (409, "served before") } else { (502, "may have run") };
        assert_eq!(refusal(&answer), (notified.0, Some(notified.1)), "{id}");
    }
}

/// What is old and known at all sites is dropped, at both in the same way; what must not run twice stays known, also by the next process.
#[rstest]
fn what_all_sites_have_is_sealed_and_guarded_keys_stay_known() {
    let (files, servers) = (SiteFiles::new("seal"), [TestServer::new(), TestServer::new()]);
    (0..2).for_each(|k| files.write_sites(k, 2, "(seal 300 ms)"));
    let [node, other] = [0, 1].map(|k| files.start(k, &servers[k]));
    node.logs("guarded work is taken");
    let mut client = node.client();
    client.send(&job("first", "/actuator-cmd", "5000m", ""));
    let mut backend = servers[0].accept();
    assert_eq!(backend.id(), "first");
    backend.serve("first", "1");
    assert_eq!(client.message().status(), 200);
    for k in 0..520 {
        let id = format!("free{k}");
        client.send(&job(&id, "/zone-plan", "5000m", ""));
        backend.id();
        backend.serve(&id, "1");
        assert_eq!(client.message().status(), 200);
    }
    for node in [&node, &other] {
        node.logs("logs are sealed further");
        assert!(history(node).contains("sealed=1024"), "{}", history(node));
    }
    let begin = Instant::now();
    while history(&node) != history(&other) {
        assert!(begin.elapsed() < TEST_TIMEOUT, "{} and {}", history(&node), history(&other));
    }
    drop(node);
    let node = files.start(0, &servers[0]);
    node.logs("guarded work is taken");
    for node in [&node, &other] {
        let answer = node.send_job("first", "/actuator-cmd").message();
        assert_eq!(refusal(&answer), (409, Some("served before")));
    }
}

/// Datagrams to a node, over a link that can be cut. It ends with this.
struct Link {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
}

impl Link {
    fn to(target: SocketAddr) -> Link {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let address = socket.local_addr().unwrap();
        let [cut, over] = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let link = Link { address, cut: cut.clone(), over: over.clone() };
        std::thread::spawn(move || {
            let mut buffer = [0; 1 << 16];
            while !over.load(Ordering::Relaxed) {
                if let Ok((n, _)) = socket.recv_from(&mut buffer) {
                    if !cut.load(Ordering::Relaxed) {
                        // Nobody may be there.
                        let _ = socket.send_to(&buffer[..n], target);
                    }
                }
            }
        });
        link
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// The cut comes between two nodes of one site: one is told that an account closes, the other is not, and stands alone while the account
/// is closed, reopened and closed once more. It goes on by what it knew; linked again it knows the last word, what it began meanwhile is
/// named, and what ran is finished.
#[rstest]
fn an_account_closed_reopened_and_closed_while_a_node_stands_alone() {
    let files = SiteFiles::new("cut-between");
    let links: Vec<Vec<Link>> =
        (0..3).map(|_| (0..3).map(|to| Link::to(files.address(to))).collect()).collect();
    let cut = |cut: bool| {
        for (from, row) in links.iter().enumerate() {
            for (to, link) in row.iter().enumerate().filter(|(to, _)| (from == 2) != (*to == 2)) {
                link.cut.store(cut && from != to, Ordering::Relaxed);
            }
        }
    };
    for (node, row) in links.iter().enumerate() {
        let at = |to: usize| if to == node { files.address(to) } else { row[to].address };
        let text = format!(
            "(sites (version 1) (fleet \"odense\") (key \"fleet.key\") (accounts \"accounts.sexp\") {}
             (site west (node n0 \"{}\") (bears 100)) (site east (node n1 \"{}\") (node n2 \"{}\") (bears 100)))",
            files.timeouts, at(0), at(1), at(2)
        );
        std::fs::write(files.node_folder(node).join("sites.sexp"), &text).unwrap();
    }
    let servers = [TestServer::new(), TestServer::new(), TestServer::new()];
    let nodes = [0, 1, 2].map(|k| files.start(k, &servers[k]));
    nodes.iter().for_each(|n| drop(n.logs("standing is confirmed")));
    let mut running = nodes[2].send_job("running", "/actuator-cmd");
    let mut backend = servers[2].accept();
    assert_eq!(backend.id(), "running");
    cut(true);
    nodes[2].logs("standing can't be confirmed");
    for (number, standing, notified) in
        [(2, "closing", "Closing"), (3, "reopened", "Reopened"), (4, "closing", "Closing")]
    {
        files.write_accounts(0, number, &format!("(account acme (standing {standing}))"));
        nodes[0].reload();
        for node in &nodes[..2] {
            node.logs(&format!("account acme {notified} number={number}"));
        }
    }
    let closing = (403, Some("account closing"));
    assert_eq!(refusal(&nodes[1].send_job("new-1", "/zone-plan").message()), closing);
    let mut alone = nodes[2].send_job("alone", "/zone-plan");
    let mut other = comes(&servers[2], None);
    assert_eq!(other.id(), "alone");
    other.serve("alone", "1");
    assert_eq!(alone.message().status(), 200);
    cut(false);
    nodes[2].logs("account acme Closing number=4");
    assert_eq!(refusal(&nodes[2].send_job("new-2", "/zone-plan").message()), closing);
    let notified = nodes[0].logs("account acme: work was started after file");
    assert!(notified.contains("Unaware at east/n2"), "{notified}");
    backend.serve("running", "done");
    assert_eq!(running.message().body, "done");
    let begin = Instant::now();
    while !(1..3).all(|k| history(&nodes[k]) == history(&nodes[0])) {
        assert!(begin.elapsed() < TEST_TIMEOUT, "{:?}", [0, 1, 2].map(|k| history(&nodes[k])));
    }
    loop {
        let answer = nodes[0].send_job("running", "/actuator-cmd").message();
        match refusal(&answer) {
            (409, Some("served before")) => break,
            // Its end has not come yet.
            notified => {
                assert!(
                    notified == (502, Some("may have run")) && begin.elapsed() < TEST_TIMEOUT,
                    "{notified:?}"
                )
            }
        }
    }
}
