//! Nodes of several sites: placements, accounts and their configuration files, with a real process per node.

pub use crate::support::site_files::{sign, SiteFiles, KEY};
use crate::support::*;
use rstest::rstest;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Waits until `/ops/sites` contains the text.
pub fn wait_for_sites_page(node: &Node, text: &str) {
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

/// Returns the figures of `/ops/sites` that identify the placement history of a node.
fn history(node: &Node) -> String {
    let mut operator = node.operator();
    operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    let text = operator.message().body;
    let line = text.lines().find(|l| l.starts_with("placements")).unwrap().to_string();
    let is_identifying =
        |field: &&str| ["all=", "sealed=", "digest="].iter().any(|name| field.starts_with(name));
    line.split(' ').filter(is_identifying).collect::<Vec<_>>().join(" ")
}

/// Serves every request on a connection.
pub fn serve_all(mut peer: Connection) {
    while peer.receives_data() {
        let id = peer.id();
        peer.serve(&id, "1");
    }
}

/// Returns the connection on which the next job arrives: a new one, or the kept one.
pub fn accept_job(server: &TestServer, mut kept_connection: Option<Connection>) -> Connection {
    let begin = Instant::now();
    loop {
        assert!(begin.elapsed() < TEST_TIMEOUT, "no job arrived");
        if let Some(peer) = server.try_accept() {
            return peer;
        }
        let Some(peer) = &mut kept_connection else { return server.accept() };
        if !peer.is_silent_for(Duration::from_millis(10)) && !peer.ends_without_data() {
            break;
        }
    }
    kept_connection.take().unwrap_or_else(|| server.accept())
}

/// Returns the status and the `Refused-Because` field of a response.
pub fn refusal(answer: &Message) -> (u16, Option<&str>) {
    (answer.status(), answer.field("Refused-Because"))
}

/// One node gets the file that closes an account: both nodes reject new jobs of the account, finish running ones and their retries,
/// and serve the account again after it is reopened.
#[rstest]
fn closing_an_account_rejects_new_jobs_at_both_sites_and_finishes_running_ones() {
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
        // A retry of an accepted job's id counts as running work; a retry of a rejected job does not.
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

/// A job that another node accepted before the account closed counts as running work once its placement is known: a guarded retry
/// gets the job's outcome and a free one is served. New jobs are rejected.
#[rstest]
fn retry_of_a_job_accepted_by_another_node_is_allowed_for_a_closing_account() {
    let (files, servers) = (SiteFiles::new("elsewhere"), [TestServer::new(), TestServer::new()]);
    let nodes = [0, 1].map(|k| files.start(k, &servers[k]));
    nodes.iter().for_each(|n| drop(n.logs("standing is confirmed")));
    servers.into_iter().for_each(|s| s.handle_connections(serve_all));
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
            // Before the placement arrives the job counts as new.
            let may_come_before = [(403, Some("account closing")), (502, Some("may have run"))];
            assert!(
                may_come_before.contains(&refusal(&answer)) && begin.elapsed() < TEST_TIMEOUT,
                "{id}: {answer:?}"
            );
        }
    }
}

/// Accounts files that are older, that lack their authentication code or whose code does not match are ignored.
#[rstest]
fn old_or_unauthenticated_accounts_files_are_rejected() {
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

/// A node persists the newest sites file it has used: an older file, a different file of that version and an older declaration of a
/// lost site are rejected, on SIGHUP and at the next start.
#[rstest]
fn older_sites_file_is_rejected_on_reload_and_after_a_restart() {
    let (files, server) = (SiteFiles::new("older"), TestServer::new());
    files.write_sites(0, 3, "(lost east (number 4))");
    let mut node = files.start(0, &server);
    let is_lost = |node: &Node| {
        let mut operator = node.operator();
        operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        operator.message().body.contains("site east Lost")
    };
    node.logs("site east Lost");
    for (version, clauses, error) in [
        (2, "", "the file has (version 2), and this node has already used version 3"),
        (3, "", "the file differs from the one of (version 3)"),
        (
            4,
            "(lost east (number 3))",
            "the file declares east lost by number 3, and number 4 was declared before",
        ),
    ] {
        files.write_sites(0, version, clauses);
        node.reload();
        let line = node.logs("the old files of sites and accounts stay");
        assert!(line.contains(error) && line.contains("greater"), "{line}");
        assert!(is_lost(&node));
    }
    files.write_sites(0, 4, "");
    node.reload();
    node.logs("read again: version 4");
    node.terminate();
    node.exit();
    let start_error = |version, clauses| {
        files.write_sites(0, version, clauses);
        let (file, state) = (files.node_folder(0).join("sites.sexp"), files.node_folder(0).join("state"));
        let arguments =
            [PROGRAM, "serve", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
        let out = command(&arguments, &config(&[server.address]).to_string()).output().unwrap();
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).to_string()
    };
    let stderr = start_error(3, "(lost east (number 4))");
    assert!(
        stderr.contains("the file has (version 3), and this node has already used version 4"),
        "{stderr}"
    );
    let stderr = start_error(5, "(lost east (number 4))");
    assert!(stderr.contains("the file declares east lost by number 4"), "{stderr}");
    files.write_sites(0, 5, "(lost east (number 5))");
    let node = files.start(0, &server);
    node.logs("site east Lost");
}

/// Nodes warn about a peer that uses another sites file: a different one of the same version, or another version.
#[rstest]
fn differing_sites_files_are_logged() {
    let (files, servers) = (SiteFiles::new("two-files"), [TestServer::new(), TestServer::new()]);
    files.write_sites(1, 1, "(seal 9 min)");
    let nodes = [0, 1].map(|k| files.start(k, &servers[k]));
    nodes[0].logs("n1 uses another file with version 1 than this node");
    nodes[1].logs("n0 uses another file with version 1 than this node");
    files.write_sites(1, 2, "");
    nodes[1].reload();
    nodes[0].logs("n1 uses version 2 of the sites file, this node uses 1");
}

/// `Retry-After` on a rejection for an unconfirmed account status stays within the settings, or is left out.
#[rstest]
#[case::default_limit(true, 2_000.0, Some(2.0))]
#[case::short_limit(true, 300.0, Some(0.3))]
#[case::not_allowed(false, 2_000.0, None)]
fn retry_after_of_an_unconfirmed_account_follows_the_settings(
    #[case] allowed: bool,
    #[case] limit_ms: f64,
    #[case] retry_after: Option<f64>,
) {
    let files = SiteFiles::new(&format!("advice-{allowed}-{limit_ms}"));
    files.write_sites(0, 2, "(credit acme (jobs 8) (reserve 2) (shrink 1 h))");
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["settings"]["allowed"]["retry_after"] = allowed.into();
    config["settings"]["allowed"]["max_retry_after_ms"] = limit_ms.into();
    let node = files.start_with(0, config, &[]);
    let answer = node.send_job("a", "/zone-plan").message();
    assert_eq!(refusal(&answer), (503, Some("standing not confirmed")));
    assert_eq!(answer.field("Retry-After").map(|t| t.parse().unwrap()), retry_after);
    assert!(server.has_no_connection());
}

/// An isolated site starts no more jobs on an unconfirmed account status than the credit allows, also across a restart, until it is
/// connected again.
#[rstest]
fn isolated_site_stays_within_its_credit_across_a_restart() {
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
    let mut expect_four_served = |node: &Node, name: &str| {
        let mut served_count = 0;
        for k in 0..10 {
            let id = format!("{name}{k}");
            let mut client = node.send_job(&id, "/zone-plan");
            let begin = Instant::now();
            if served_count < 4 {
                let backend = backend.get_or_insert_with(|| servers[0].accept());
                backend.message();
                backend.serve(&id, "1");
                assert_eq!(client.message().status(), 200);
                served_count += 1;
                continue;
            }
            let answer = client.message();
            assert!(begin.elapsed() < TEST_TIMEOUT / 4);
            assert_eq!(refusal(&answer), (503, Some("standing not confirmed")));
            assert!(answer.field("Retry-After").is_some());
        }
    };
    expect_four_served(&node, "alone");
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

/// With a full disk at start, guarded jobs and jobs on credit are rejected, other jobs are served and stored placements stay known.
/// Freeing space restores service without a restart.
#[rstest]
#[case::empty_folder(false, false)]
#[case::after_shutdown(true, false)]
#[case::after_kill(true, true)]
fn node_starts_on_a_full_disk_and_recovers_when_space_is_freed(#[case] used: bool, #[case] killed: bool) {
    let (files, server) = (SiteFiles::new(&format!("full-{used}-{killed}")), TestServer::new());
    files.write_sites(0, 2, "(credit acme (jobs 8) (reserve 8))");
    files.write_sites(1, 2, "(credit acme (jobs 8) (reserve 8))");
    let other = files.start(1, &TestServer::new());
    // The node reuses its connection for the next job.
    let mut backend: Option<Connection> = None;
    let mut serve = |node: &Node, id: &str, class: &str| {
        let mut client = node.send_job(id, class);
        let mut peer = accept_job(&server, backend.take());
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
    wait_for_sites_page(&node, "standing confirmed");
    serve(&node, "free", "/zone-plan");
    drop(other);
    wait_for_sites_page(&node, "standing not confirmed");
    let answer = node.send_job("credit", "/zone-plan").message();
    assert_eq!(refusal(&answer), (503, Some("standing not confirmed, disk not written")));
    node.lift_file_size_limit();
    node.logs("the disk accepts writes again");
    let other = files.start(1, &TestServer::new());
    wait_for_sites_page(&node, "standing confirmed");
    // The rejected job never ran, so it may be placed now.
    serve(&node, "new", "/actuator-cmd");
    // A placement that a peer knows is on the disk, so the next process knows it.
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

/// A node that the sites file does not list, a readable key file and a state folder in use by another process fail the start.
#[rstest]
#[case::unlisted_node("n7", 0o600, "n7 is no (node ...) of a site")]
#[case::readable_key("n0", 0o644, "others may read or change it")]
#[case::folder_in_use("n0", 0o600, "another process has the store open")]
fn invalid_node_setup_fails_the_start(#[case] name: &str, #[case] mode: u32, #[case] error: &str) {
    let (files, server) =
        (SiteFiles::new(&format!("start-{name}-{mode}-{}", error.len())), TestServer::new());
    let _first = files.start(0, &server);
    std::fs::set_permissions(files.node_folder(0).join("fleet.key"), std::fs::Permissions::from_mode(mode))
        .unwrap();
    let mut config = config(&[server.address]);
    config["name"] = name.into();
    let (file, state) = (files.node_folder(0).join("sites.sexp"), files.node_folder(0).join("state"));
    let arguments = [PROGRAM, "serve", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
    let out = command(&arguments, &config.to_string()).output().unwrap();
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && stderr.contains(error), "{stderr}");
}

/// `check` validates the sites and accounts files and names what the settings do not define.
#[rstest]
#[case::valid("", "", true, "east: 1 nodes, bears 100 a second")]
#[case::unknown_tenant("(credit fyn (jobs 8))", "", false, "the settings do not define fyn")]
#[case::unknown_class("(home valve)", "", false, "the settings do not define valve")]
#[case::duplicate_site("(site east (node n1 \"127.0.0.1:1\"))", "", false, "sites.sexp:3:")]
#[case::unknown_account_status("", "(account acme (standing shut))", false, "accounts.sexp:1:")]
fn check_reports_errors_in_sites_and_accounts_files(
    #[case] sites: &str,
    #[case] accounts: &str,
    #[case] is_valid: bool,
    #[case] expected: &str,
) {
    let files = SiteFiles::new(&format!("check-{}-{}", sites.len(), accounts.len()));
    files.write_sites(0, 1, sites);
    files.write_accounts(0, 1, accounts);
    let file = files.node_folder(0).join("sites.sexp");
    let arguments = [PROGRAM, "check", "--sites", file.to_str().unwrap()];
    let out = command(&arguments, &config(&[]).to_string()).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() == is_valid && text.contains(expected), "{text}");
}

/// The example files in `deploy/` are valid once they are signed.
#[test]
fn check_accepts_the_example_files() {
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
    let arguments = [PROGRAM, "check", "--sites", file.to_str().unwrap()];
    let out = command(&arguments, &config.to_string()).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() && text.contains("sjaelland-syd: Closing by file 12"), "{text}");
}

/// A guarded key is not placed again after it was served, may have run, or was in flight when the process was killed; another process
/// and another site know it, too.
#[rstest]
fn guarded_key_is_not_placed_twice_across_restarts_and_sites() {
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
    // The job arrives on the kept connection or on a new one, by how recently the kept one was used.
    let mut backend = accept_job(&server, Some(backend));
    backend.message();
    drop(backend);
    assert_eq!(client.message().status(), 502);
    assert_eq!(refusal(&ask(&node, "lost-again").message()), (502, Some("may have run")));
    let mut client = ask(&node, "killed");
    let mut backend = server.accept();
    backend.message();
    // Dropping the node kills it, so that it can't write anything more.
    drop(node);
    assert!(client.is_closed());
    let node = files.start(0, &server);
    node.logs("guarded work is taken");
    for (id, expected) in [
        ("served", (409, "served before")),
        ("lost", (502, "may have run")),
        ("killed", (502, "may have run")),
    ] {
        let answer = ask(&node, &format!("{id}-later")).message();
        assert_eq!(refusal(&answer), (expected.0, Some(expected.1)), "{id}");
    }
    let mut client = ask(&node, "new");
    let mut backend = server.accept();
    assert_eq!(backend.message().field("Request-Id"), Some("new"));
    backend.serve("new", "1");
    assert_eq!(client.message().status(), 200);
    assert!(server.has_no_connection());
    // The other site has received the history and does not place these keys either.
    let begin = Instant::now();
    // Four placements and their outcomes.
    while history(&node) != history(&other) || !history(&node).starts_with("all=8 ") {
        assert!(begin.elapsed() < TEST_TIMEOUT, "{} and {}", history(&node), history(&other));
    }
    for id in ["served", "lost", "killed", "new"] {
        let answer = ask(&other, &format!("{id}-elsewhere")).message();
        let expected =
            if ["served", "new"].contains(&id) { (409, "served before") } else { (502, "may have run") };
        assert_eq!(refusal(&answer), (expected.0, Some(expected.1)), "{id}");
    }
}

/// Log entries that all sites have are sealed in the same way at each; guarded keys stay known, also after a restart.
#[rstest]
fn sealing_the_history_retains_guarded_keys() {
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
        node.logs("logs were dropped; their digests and guarded keys are kept");
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

/// Forwards datagrams to a node until it is dropped; can be cut.
struct Link {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl Link {
    fn to(target: SocketAddr) -> Link {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let address = socket.local_addr().unwrap();
        let [cut, stopped] = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let link = Link { address, cut: cut.clone(), stopped: stopped.clone() };
        std::thread::spawn(move || {
            let mut buffer = [0; 1 << 16];
            while !stopped.load(Ordering::Relaxed) {
                if let Ok((n, _)) = socket.recv_from(&mut buffer) {
                    if !cut.load(Ordering::Relaxed) {
                        // The target may not be running.
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
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// A node that is partitioned while an account closes, reopens and closes goes on with the status it knew. Connected again, it adopts
/// the newest status, jobs that it started meanwhile are logged, and running jobs finish.
#[rstest]
fn partitioned_node_catches_up_with_account_status_changes() {
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
    for (number, account_status, status_name) in
        [(2, "closing", "Closing"), (3, "reopened", "Reopened"), (4, "closing", "Closing")]
    {
        files.write_accounts(0, number, &format!("(account acme (standing {account_status}))"));
        nodes[0].reload();
        for node in &nodes[..2] {
            node.logs(&format!("account acme {status_name} number={number}"));
        }
    }
    let closing = (403, Some("account closing"));
    assert_eq!(refusal(&nodes[1].send_job("new-1", "/zone-plan").message()), closing);
    let mut isolated = nodes[2].send_job("alone", "/zone-plan");
    let mut other = accept_job(&servers[2], None);
    assert_eq!(other.id(), "alone");
    other.serve("alone", "1");
    assert_eq!(isolated.message().status(), 200);
    cut(false);
    nodes[2].logs("account acme Closing number=4");
    assert_eq!(refusal(&nodes[2].send_job("new-2", "/zone-plan").message()), closing);
    let line = nodes[0].logs("account acme: work was started after file");
    assert!(line.contains("Unaware at east/n2"), "{line}");
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
            // The outcome has not arrived yet.
            pending => {
                assert!(
                    pending == (502, Some("may have run")) && begin.elapsed() < TEST_TIMEOUT,
                    "{pending:?}"
                )
            }
        }
    }
}
