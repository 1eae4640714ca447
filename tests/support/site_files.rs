//! The operators' files of a fleet of sites, and nodes that go by them.

use super::*;
use shorepath_message_auth::keyring::Keys;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

pub const KEY: &str = "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677";

/// The files of two sites with a node each, in folders of their own.
pub struct Files {
    folder: PathBuf,
    addresses: [SocketAddr; 3],
    /// What its files say of time.
    pub times: &'static str,
}

impl Files {
    pub fn new(name: &str) -> Files {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("sites-{}-{name}", std::process::id()));
        let times = "(confirm 2 s) (alone 2500 ms) (hold 3 s)";
        let files = Files { folder, addresses: [(); 3].map(|()| fresh()), times };
        for node in 0..3 {
            std::fs::create_dir_all(files.of(node)).unwrap();
            let key = files.of(node).join("fleet.key");
            std::fs::write(&key, KEY).unwrap();
            std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
            files.sites(node, 1, "");
            files.accounts(node, 1, "");
        }
        files
    }

    /// Where a node listens.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    pub fn of(&self, node: usize) -> PathBuf {
        self.folder.join(format!("n{node}"))
    }

    pub fn sites(&self, node: usize, version: u32, more: &str) {
        let ([a, b, _], times) = (self.addresses, self.times);
        let text = format!(
            "(sites (version {version}) (fleet \"odense\") (key \"fleet.key\") (accounts \"accounts.sexp\")\n\
             {times}\n\
             (site west (node n0 \"{a}\") (bears 100)) (site east (node n1 \"{b}\") (bears 100)) {more})"
        );
        let path = self.of(node).join("sites.sexp");
        std::fs::write(&path, &text).unwrap();
        sign(&path, &text);
    }

    /// A third site with a node, for a file of sites.
    pub fn third(&self) -> String {
        format!("(site north (node n2 \"{}\") (bears 100))", self.addresses[2])
    }

    /// The authority's file of that number, handed to one node.
    pub fn accounts(&self, node: usize, number: u32, accounts: &str) {
        let text = format!("(accounts (number {number}) {accounts})");
        let path = self.of(node).join("accounts.sexp");
        std::fs::write(&path, &text).unwrap();
        sign(&path, &text);
    }

    /// Start it on a disk that takes the first bytes of a file only.
    pub fn start_full(&self, node: usize, server: &Party) -> Node {
        let mut config = config(&[server.address]);
        config["name"] = format!("n{node}").into();
        config["mgmt"] = "127.0.0.1:0".into();
        let (file, state) = (self.of(node).join("sites.sexp"), self.of(node).join("state"));
        let text = "trap '' XFSZ; ulimit -S -f 8; exec \"$0\" \"$@\"";
        let own = [PROGRAM, "serve", "-v", "--sites", file.to_str().unwrap(), "--state"];
        let messages = [&["sh", "-c", text], &own[..], &[state.to_str().unwrap()]].concat();
        Node::start_as(&messages, &config)
    }

    pub fn start(&self, node: usize, server: &Party) -> Node {
        self.start_with(node, config(&[server.address]), &[])
    }

    pub fn start_with(&self, node: usize, mut config: serde_json::Value, more: &[&str]) -> Node {
        config["name"] = format!("n{node}").into();
        config["mgmt"] = "127.0.0.1:0".into();
        let (file, state) = (self.of(node).join("sites.sexp"), self.of(node).join("state"));
        let messages =
            [PROGRAM, "serve", "-v", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
        Node::start_as(&[&messages, more].concat(), &config)
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Write the code of a file beside it.
pub fn sign(path: &Path, text: &str) {
    let code = Keys::read(KEY).unwrap().mac(text.as_bytes());
    let hex: String = code.iter().map(|b| format!("{b:02x}")).collect();
    std::fs::write(path.with_extension("sexp.hmac"), hex).unwrap();
}
