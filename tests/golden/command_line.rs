//! What commands print: complaints about bad files with their places, and figures of budgets for people and programs.

use crate::files::matches;
use crate::support::site_files::{sign, SiteFiles};
use crate::support::{command, config, PROGRAM};
use rstest::rstest;
use serde_json::{json, Value};
use shorepath_quota::messages::{BudgetStatus, PartStatus, Status};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// What a command prints on both outputs, and its code; the folder of its files is masked.
fn printed(messages: &[&str], config: &str, folder: &Path) -> String {
    let out = command(messages, config).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    let text = text.replace(folder.to_str().unwrap(), "DIR");
    // The configuration's name is another one each time.
    let lines = text.lines().map(|line| match line.split_once(".json") {
        Some((_, rest)) => format!("shorepath: CONFIG.json{rest}"),
        None => line.to_string(),
    });
    let lines: Vec<String> = lines.collect();
    format!("exit {:?}\n{}\n", out.status.code(), lines.join("\n"))
}

fn bad_configurations() -> Vec<(&'static str, String)> {
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
fn complaints_about_configurations() {
    let mut found = String::new();
    for (name, config) in bad_configurations() {
        found += &format!("# {name}\n{}", printed(&[PROGRAM, "check"], &config, Path::new("/nowhere")));
    }
    matches("complaints-configuration.txt", &found);
}

#[rstest]
fn complaints_about_files_of_budgets() {
    let files = SiteFiles::new("golden-budgets");
    let file = files.node_folder(0).join("budgets.sexp");
    let own = "(divider d0 \"127.0.0.1:1\") (node n0 \"127.0.0.1:2\")";
    let mut found = String::new();
    for (name, text) in [
        ("not closed", "(budgets (version 1)".to_string()),
        ("another form", "(sites (version 1))".to_string()),
        ("unknown clause", format!("(budgets {own}\n  (budgte probes (whole 9)))")),
        ("no divider", "(budgets (node n0 \"127.0.0.1:2\"))".to_string()),
        ("bad address", "(budgets (divider d0 \"here\") (node n0 \"127.0.0.1:2\"))".to_string()),
        ("too many reserves", format!("(budgets {own} (budget probes (whole 9) (reserve 10)))")),
        ("twice", format!("(budgets {own}\n  (budget probes (whole 9))\n  (budget probes (whole 8)))")),
        ("bad time", format!("(budgets (term soon) {own} (budget probes (whole 9)))")),
        ("unknown budget", format!("(budgets {own} (budget quota:nobody (whole 9)))")),
        ("good", format!("(budgets {own} (budget probes (whole 9) (reserve 1)))")),
    ] {
        std::fs::write(&file, text).unwrap();
        let messages = [PROGRAM, "check", "--budgets", file.to_str().unwrap()];
        found +=
            &format!("# {name}\n{}", printed(&messages, &config(&[]).to_string(), &files.node_folder(0)));
    }
    matches("complaints-budgets.txt", &found);
}

#[rstest]
fn complaints_about_files_of_sites_and_accounts() {
    let files = SiteFiles::new("golden-sites");
    let (folder, file) = (files.node_folder(0), files.node_folder(0).join("sites.sexp"));
    let check = |name: &str| {
        let messages = [PROGRAM, "check", "--sites", file.to_str().unwrap()];
        format!("# {name}\n{}", printed(&messages, &config(&[]).to_string(), &folder))
    };
    let mut found = check("good");
    for (name, more) in [
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
        // On a line of its own: the line before has addresses of this run.
        files.write_sites(0, 1, &format!("\n{more}"));
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
    matches("complaints-sites.txt", &found);
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
fn figures_of_budgets() {
    let files = SiteFiles::new("golden-figures");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let file = files.node_folder(0).join("budgets.sexp");
    let places = format!("(divider d0 \"{}\") (node n0 \"127.0.0.1:1\")", listener.local_addr().unwrap());
    std::fs::write(&file, format!("(budgets {places} (budget probes (whole 9) (reserve 1)))")).unwrap();
    let unsure = Status { leader: None, epoch: None, kept: vec![], ..status() };
    let answers = [status(), status(), status(), status(), status(), status(), unsure.clone(), unsure];
    let serving = std::thread::spawn(move || {
        for answer in answers {
            let answer = json!({"Status": answer}).to_string();
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 4];
            stream.read_exact(&mut head).unwrap();
            let mut question = vec![0; u32::from_be_bytes(head) as usize];
            stream.read_exact(&mut question).unwrap();
            assert_eq!(question, b"\"Status\"");
            stream.write_all(&(answer.len() as u32).to_be_bytes()).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    let mut found = String::new();
    for messages in [
        vec!["status"],
        vec!["status", "--json"],
        vec!["explain", "probes"],
        vec!["explain", "lists", "n0"],
        vec!["explain", "further"],
        vec!["explain", "nothing"],
        vec!["status"],
        vec!["explain", "connections", "n0"],
    ] {
        let (first, rest) = messages.split_first().unwrap();
        let all = [&[PROGRAM, "budgets", first, "--budgets", file.to_str().unwrap()], rest].concat();
        found += &format!("# {}\n{}", messages.join(" "), printed(&all, "{}", &files.node_folder(0)));
    }
    serving.join().unwrap();
    matches("figures-budgets.txt", &found);
}
