//! Output of commands: errors in configuration files with their positions, and the status of budgets as text and JSON.

use crate::files::assert_golden;
use crate::support::site_files::{sign, SiteFiles};
use crate::support::{command, config, PROGRAM};
use rstest::rstest;
use serde_json::{json, Value};
use shorepath_quota::messages::{BudgetStatus, PartStatus, Status};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Runs a command and returns its exit code, stdout and stderr; the folder of its files is masked.
fn run(arguments: &[&str], config: &str, folder: &Path) -> String {
    let out = command(arguments, config).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    let text = text.replace(folder.to_str().unwrap(), "DIR");
    // The name of the configuration file differs between runs.
    let lines = text.lines().map(|line| match line.split_once(".json") {
        Some((_, rest)) => format!("shorepath: CONFIG.json{rest}"),
        None => line.to_string(),
    });
    let lines: Vec<String> = lines.collect();
    format!("exit {:?}\n{}\n", out.status.code(), lines.join("\n"))
}

fn invalid_configurations() -> Vec<(&'static str, String)> {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut config = config(&[]);
        change(&mut config);
        config.to_string()
    };
    vec![
        ("no object", "[1, 2".to_string()),
        ("no settings", with(&|c| drop(c.as_object_mut().unwrap().remove("settings")))),
        ("no address", with(&|c| c["listen"] = json!("here"))),
        ("no seed", with(&|c| c["seed"] = json!("xyz"))),
        ("few sockets", with(&|c| c["limits"]["sockets"] = json!(3))),
        ("no classes", with(&|c| c["settings"]["classes"] = json!([]))),
        ("a class twice", with(&|c| c["settings"]["classes"][1] = c["settings"]["classes"][0].clone())),
        ("no deadline", with(&|c| c["settings"]["classes"][0]["deadline_ms"] = json!(0))),
        ("no attempts", with(&|c| c["settings"]["allowed"]["try_limit"] = json!(0))),
        (
            "bad server",
            with(&|c| c["known"]["members"] = json!([{"id": "s", "host_port": "x", "phase": "active"}])),
        ),
    ]
}

#[rstest]
fn errors_in_configurations_match_the_golden_file() {
    let mut found = String::new();
    for (name, config) in invalid_configurations() {
        found += &format!("# {name}\n{}", run(&[PROGRAM, "check"], &config, Path::new("/nowhere")));
    }
    assert_golden("complaints-configuration.txt", &found);
}

#[rstest]
fn errors_in_budgets_files_match_the_golden_file() {
    let files = SiteFiles::new("golden-budgets");
    let file = files.node_folder(0).join("budgets.sexp");
    let members = "(divider d0 \"127.0.0.1:1\") (node n0 \"127.0.0.1:2\")";
    let mut found = String::new();
    for (name, text) in [
        ("not closed", "(budgets (version 1)".to_string()),
        ("another form", "(sites (version 1))".to_string()),
        ("unknown clause", format!("(budgets {members}\n  (budgte probes (whole 9)))")),
        ("no divider", "(budgets (node n0 \"127.0.0.1:2\"))".to_string()),
        ("bad address", "(budgets (divider d0 \"here\") (node n0 \"127.0.0.1:2\"))".to_string()),
        ("too many reserves", format!("(budgets {members} (budget probes (whole 9) (reserve 10)))")),
        ("twice", format!("(budgets {members}\n  (budget probes (whole 9))\n  (budget probes (whole 8)))")),
        ("bad time", format!("(budgets (term soon) {members} (budget probes (whole 9)))")),
        ("unknown budget", format!("(budgets {members} (budget quota:nobody (whole 9)))")),
        ("good", format!("(budgets {members} (budget probes (whole 9) (reserve 1)))")),
    ] {
        std::fs::write(&file, text).unwrap();
        let arguments = [PROGRAM, "check", "--budgets", file.to_str().unwrap()];
        found += &format!("# {name}\n{}", run(&arguments, &config(&[]).to_string(), &files.node_folder(0)));
    }
    assert_golden("complaints-budgets.txt", &found);
}

#[rstest]
fn errors_in_sites_and_accounts_files_match_the_golden_file() {
    let files = SiteFiles::new("golden-sites");
    let (folder, file) = (files.node_folder(0), files.node_folder(0).join("sites.sexp"));
    let check = |name: &str| {
        let arguments = [PROGRAM, "check", "--sites", file.to_str().unwrap()];
        format!("# {name}\n{}", run(&arguments, &config(&[]).to_string(), &folder))
    };
    let mut found = check("good");
    for (name, clauses) in [
        ("a site twice", "(site east (node n1 \"127.0.0.1:1\") (bears 1))"),
        ("no bears", "(site north (node n3 \"127.0.0.1:1\"))"),
        ("strange tenant", "(credit fyn (jobs 8))"),
        ("strange class", "(home valve)"),
        ("bad credit", "(credit acme (jobs 8) (reserve 9))"),
        ("unknown clause", "(leave west)"),
        ("bad recovery", "(recover (outlive never))"),
        ("bad audit", "(audit (bytes 1))"),
        ("lost without a number", "(lost east)"),
    ] {
        // On its own line, because errors quote the line and the one before has addresses of this run.
        files.write_sites(0, 1, &format!("\n{clauses}"));
        found += &check(name);
    }
    files.write_sites(0, 1, "");
    for (name, accounts) in [
        ("unknown standing", "(account acme (standing shut))"),
        ("an account twice", "(account acme (standing good))\n (account acme (standing closed))"),
        ("no standing", "(account acme)"),
    ] {
        files.write_accounts(0, 1, accounts);
        found += &check(name);
    }
    files.write_accounts(0, 1, "");
    std::fs::write(folder.join("accounts.sexp"), "(accounts (number 2))").unwrap();
    found += &check("another code");
    std::fs::remove_file(folder.join("accounts.sexp.hmac")).unwrap();
    found += &check("no code");
    files.write_accounts(0, 1, "");
    let key = folder.join("fleet.key");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o644)).unwrap();
    found += &check("open key");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
    std::fs::write(&key, "abc").unwrap();
    found += &check("bad key");
    std::fs::remove_file(&key).unwrap();
    found += &check("no key");
    let text = std::fs::read_to_string(&file).unwrap().replace("n0", "n9");
    std::fs::write(&file, &text).unwrap();
    sign(&file, &text);
    found += &check("unlisted");
    assert_golden("complaints-sites.txt", &found);
}

fn status() -> Status {
    let part = |node: &str, amount, demand, is_suspected: bool| PartStatus {
        node: node.into(),
        incarnation: 255,
        amount,
        demand,
        used: 1,
        number: 4,
        received: (!is_suspected).then_some(1_500_000),
        is_suspected,
    };
    let budget = |name: &str, free, debt, withheld| BudgetStatus {
        name: name.into(),
        total: 9,
        reserved: 2,
        granted: 2,
        surplus: 1,
        withheld,
        free,
        debt,
        used: 2,
        number: 4,
        parts: vec![part("n0", 2, 5, false), part("n1", 5, 0, true), part("n2", 5, 3, false)],
    };
    Status {
        allocator: "d0".into(),
        leader: Some("d0".into()),
        plan: 3,
        epoch: Some(77),
        kept: vec![2],
        budgets: vec![
            budget("probes", 0, 0, 5),
            budget("lists", 3, 0, 0),
            budget("further", 0, 4, 0),
            budget("connections", 0, 0, 0),
        ],
        members: vec![("n1".into(), "suspect".into(), 2_000_000)],
        refused: vec![("a word that was heard before".into(), 3)],
    }
}

#[rstest]
fn output_of_budgets_commands_matches_the_golden_file() {
    let files = SiteFiles::new("golden-figures");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let file = files.node_folder(0).join("budgets.sexp");
    let members = format!("(divider d0 \"{}\") (node n0 \"127.0.0.1:1\")", listener.local_addr().unwrap());
    std::fs::write(&file, format!("(budgets {members} (budget probes (whole 9) (reserve 1)))")).unwrap();
    let without_leader = Status { leader: None, epoch: None, kept: vec![], ..status() };
    let replies =
        [status(), status(), status(), status(), status(), status(), without_leader.clone(), without_leader];
    let serving = std::thread::spawn(move || {
        for reply in replies {
            let reply = json!({"Status": reply}).to_string();
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 4];
            stream.read_exact(&mut head).unwrap();
            let mut request = vec![0; u32::from_be_bytes(head) as usize];
            stream.read_exact(&mut request).unwrap();
            assert_eq!(request, b"\"Status\"");
            stream.write_all(&(reply.len() as u32).to_be_bytes()).unwrap();
            stream.write_all(reply.as_bytes()).unwrap();
        }
    });
    let mut found = String::new();
    for arguments in [
        vec!["status"],
        vec!["status", "--json"],
        vec!["explain", "probes"],
        vec!["explain", "lists", "n0"],
        vec!["explain", "further"],
        vec!["explain", "nothing"],
        vec!["status"],
        vec!["explain", "connections", "n0"],
    ] {
        let (first, rest) = arguments.split_first().unwrap();
        let command = [&[PROGRAM, "budgets", first, "--budgets", file.to_str().unwrap()], rest].concat();
        found += &format!("# {}\n{}", arguments.join(" "), run(&command, "{}", &files.node_folder(0)));
    }
    serving.join().unwrap();
    assert_golden("figures-budgets.txt", &found);
}
