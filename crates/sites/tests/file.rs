//! Parsing of the sites file: valid files, and each fault with its position.

use rstest::rstest;
use shorepath_sites::config::{read, SitesConfig};
use std::path::{Path, PathBuf};

const VALID: &str = r#"(sites (version 3) (fleet "odense") (key "fleet.key") (accounts "accounts.sexp")
  (confirm 3 s) (alone 5 s) (hold 10 s)
  (site west (node n0 "127.0.0.1:7900") (node n1 "127.0.0.1:7901") (server-prefix "w-") (bears 400))
  (site east (node n2 "127.0.0.1:7902") (zones "e1" "e2") (bears 300))
  (credit acme (jobs 100) (reserve 10) (shrink 30 s))
  (lend west (class sensor-check (part 20)) (class day-forecast (part 5)))
  (least sensor-check 5)
  (home actuator-cmd payout)
  (lost east (number 4)))"#;

fn parse_valid() -> SitesConfig {
    read("sites.sexp", VALID).unwrap()
}

#[test]
fn a_valid_file_is_parsed() {
    let config = parse_valid();
    assert_eq!((config.version, config.fleet.as_str(), config.hold), (3, "odense", 10_000_000));
    assert_eq!(
        (config.group, read("f", &VALID.replacen("(hold", "(group 20 ms) (hold", 1)).unwrap().group),
        (50_000, 20_000)
    );
    let n1 = config.node_named("n1").unwrap().number;
    assert_eq!(config.site_of_node(n1).unwrap().name, "west");
    assert_eq!((config.node_index(n1), config.nodes().count()), (Some(1), 3));
    assert_eq!(config.site_of_server("w-17", None).unwrap().name, "west");
    assert_eq!(config.site_of_server("x", Some("e2")).unwrap().name, "east");
    assert!(config.site_of_server("x", Some("w")).is_none());
    assert_eq!(config.remote_percent["west"]["sensor-check"], 20);
    assert_eq!(config.declared_lost("east"), Some(4));
    assert_eq!(config.key_path(Path::new("/etc/f")), PathBuf::from("/etc/f/fleet.key"));
    assert!(config.guarded_classes.contains("payout"));
}

#[test]
fn credit_shares_add_up_to_the_credit() {
    let config = parse_valid();
    let parts: Vec<_> = config.nodes().map(|(_, n)| config.credit_part("acme", n.number).unwrap()).collect();
    assert_eq!(parts.iter().map(|c| c.jobs).collect::<Vec<_>>(), [34, 33, 33]);
    assert_eq!(parts.iter().map(|c| c.reserve).sum::<u64>(), 10);
    assert!(config.credit_part("nobody", config.nodes().next().unwrap().1.number).is_none());
}

#[rstest]
#[case(r#"(node n1 "127.0.0.1:7901")"#, r#"(node n0 "127.0.0.1:7901")"#, "3:41: the node n0 is given twice")]
#[case("127.0.0.1:7902", "127.0.0.1:7901", "4:14: n2 has the address of n1")]
#[case("127.0.0.1:7902", "there", "4:14: \"there\" is not an address with a port")]
#[case("(site east", "(site west", "4:3: the site west is given twice")]
#[case("(lend west", "(lend wset", "6:3: there is no site wset; known: west, east")]
#[case("(part 20)", "(part 101)", "6:40: 101 is out of range")]
#[case("(part 20)", "(part 96)", "6:3: west lends 101 hundredths")]
#[case("(class day-forecast", "(class sensor-check", "6:45: the class sensor-check is given twice")]
#[case("(least sensor-check", "(least sensor", "7:3: no site lends anything to the class sensor")]
#[case("(lost east (number 4))", "(lost east)", "9:3: (lost SITE (number N)) needs its number")]
#[case("(lost east", "(lost west (number 1)) (lost east", "9:26: all sites are declared lost")]
#[case("(lost east", "(lost north", "9:3: there is no site north")]
#[case("(zones", "(server-prefix \"w-x\") (zones", "4:3: the server prefixes \"w-x\" and \"w-\" of west")]
#[case(" (bears 300)", "", "4:3: the site east needs (bears UNITS)")]
#[case("(reserve 10)", "(reserve 101)", "5:3: the reserve of acme is more than its jobs")]
#[case("(hold 10 s)", "(hold 10 s) (group 2 s)", "(group) must be from 1 ms to 1 s, not 2 s")]
#[case("(hold 10 s)", "(hold 1 s)", "1:1: (hold) is shorter than (alone)")]
#[case("(key \"fleet.key\") ", "", "1:1: a file of sites needs a (key \"FILE\")")]
#[case("(confirm", "(confrim", "did you mean confirm?")]
fn each_fault_is_reported_with_its_position(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert!(VALID.contains(from));
    let error = read("sites.sexp", &VALID.replacen(from, to, 1)).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn a_single_site_is_rejected_without_recovery() {
    let error =
        read("s", r#"(sites (fleet "f") (key "k") (site a (node n "1.1.1.1:1") (bears 1)))"#).unwrap_err();
    assert!(error.to_string().contains("needs two (site NAME ...) at least"), "{error}");
}

/// Parses a file of one site and two nodes with another clause.
fn parse_single_site(clause: &str) -> Result<SitesConfig, String> {
    let nodes = r#"(node n0 "1.1.1.1:1") (node n1 "1.1.1.1:2")"#;
    let text = format!("(sites (fleet f) (key k)\n (site a {nodes} (bears 1))\n {clause})");
    read("s", &text).map_err(|e| e.to_string())
}

#[test]
fn a_single_site_is_accepted_with_recovery() {
    let defaults = parse_single_site("(recover)").unwrap().recover.unwrap();
    assert_eq!((defaults.remember, defaults.answer, defaults.outlive), (64 << 20, 64 << 10, 5_000_000));
    let custom =
        parse_single_site("(recover (remember 2 MiB) (answer 512 B) (peers 1 s))").unwrap().recover.unwrap();
    assert_eq!((custom.remember, custom.answer, custom.peers), (2 << 20, 512, 1_000_000));
    assert!(read("s", VALID).unwrap().recover.is_none());
}

#[rstest]
#[case("", "needs two (site NAME ...) at least")]
#[case("(recover (remember 64))", "3:11: (remember) needs an integer and its unit: B, KiB, MiB, GiB")]
#[case("(recover (remember 64 MB))", "3:11: (remember) needs a unit at its end")]
#[case("(recover (remember 1.5 MiB))", "(remember) needs an integer, not 1.5")]
#[case("(recover (remember 1 B))", "(remember) must be from 1024 to")]
#[case("(recover (remember 1 KiB) (answer 2 KiB))", "3:2: (answer) is larger than (remember)")]
#[case("(recover (outlive 2 h))", "3:11: (outlive) must be from")]
#[case("(recover (forget 1 s))", "forget")]
#[case("(recover) (recover)", "(recover) is given twice")]
fn faults_of_the_recover_clause_are_reported(#[case] clause: &str, #[case] expected: &str) {
    let error = parse_single_site(clause).unwrap_err();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn recovery_is_rejected_for_a_single_node() {
    let text = r#"(sites (fleet f) (key k) (site a (node n0 "1.1.1.1:1") (bears 1)) (recover))"#;
    assert!(read("s", text).unwrap_err().to_string().contains("needs two nodes"));
}
