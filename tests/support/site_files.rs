//! Writes the signed files of a fleet with two or three sites, and starts nodes with them.

use super::*;
use shorepath_message_auth::keyring::Keys;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// The fleet's key in hexadecimal digits.
pub const KEY: &str = "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677";

/// The files of the sites `west`, `east` and `north`, which have one node each, in a folder per node. The files of sites
/// name the first two; the folders are removed when this is dropped.
pub struct SiteFiles {
    folder: PathBuf,
    addresses: [SocketAddr; 3],
    /// The timeouts as the files of sites have them.
    pub timeouts: &'static str,
}

impl SiteFiles {
    /// Writes the first version of all files to folders whose names contain `name`.
    pub fn new(name: &str) -> SiteFiles {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("sites-{}-{name}", std::process::id()));
        let timeouts = "(confirm 2 s) (alone 2500 ms) (hold 3 s)";
        let files = SiteFiles { folder, addresses: [(); 3].map(|()| unused_address()), timeouts };
        for node in 0..3 {
            std::fs::create_dir_all(files.node_folder(node)).unwrap();
            let key = files.node_folder(node).join("fleet.key");
            std::fs::write(&key, KEY).unwrap();
            std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
            files.write_sites(node, 1, "");
            files.write_accounts(node, 1, "");
        }
        files
    }

    /// Returns the address at which the node exchanges datagrams with other sites.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    pub fn node_folder(&self, node: usize) -> PathBuf {
        self.folder.join(format!("n{node}"))
    }

    /// Writes the file of sites of one node, with `more` entries, and signs it.
    pub fn write_sites(&self, node: usize, version: u32, more: &str) {
        let ([a, b, _], timeouts) = (self.addresses, self.timeouts);
        let text = format!(
            "(sites (version {version}) (fleet \"odense\") (key \"fleet.key\") (accounts \"accounts.sexp\")\n\
             {timeouts}\n\
             (site west (node n0 \"{a}\") (bears 100)) (site east (node n1 \"{b}\") (bears 100)) {more})"
        );
        let path = self.node_folder(node).join("sites.sexp");
        std::fs::write(&path, &text).unwrap();
        sign(&path, &text);
    }

    /// Returns the entry of the third site for [`Self::write_sites`].
    pub fn third_site(&self) -> String {
        format!("(site north (node n2 \"{}\") (bears 100))", self.addresses[2])
    }

    /// Writes the file of accounts with that number for one node and signs it.
    pub fn write_accounts(&self, node: usize, number: u32, accounts: &str) {
        let text = format!("(accounts (number {number}) {accounts})");
        let path = self.node_folder(node).join("accounts.sexp");
        std::fs::write(&path, &text).unwrap();
        sign(&path, &text);
    }

    /// Starts a node with a file size limit so small that its writes fail as on a full disk.
    pub fn start_on_full_disk(&self, node: usize, server: &TestServer) -> Node {
        let mut config = config(&[server.address]);
        config["name"] = format!("n{node}").into();
        config["mgmt"] = "127.0.0.1:0".into();
        let (file, state) = (self.node_folder(node).join("sites.sexp"), self.node_folder(node).join("state"));
        let script = "trap '' XFSZ; ulimit -S -f 8; exec \"$0\" \"$@\"";
        let own = [PROGRAM, "serve", "-v", "--sites", file.to_str().unwrap(), "--state"];
        let arguments = [&["sh", "-c", script], &own[..], &[state.to_str().unwrap()]].concat();
        Node::start_command(&arguments, &config)
    }

    /// Starts a node with one backend server.
    pub fn start(&self, node: usize, server: &TestServer) -> Node {
        self.start_with(node, config(&[server.address]), &[])
    }

    /// Starts a node with that configuration and `more` arguments.
    pub fn start_with(&self, node: usize, mut config: serde_json::Value, more: &[&str]) -> Node {
        config["name"] = format!("n{node}").into();
        config["mgmt"] = "127.0.0.1:0".into();
        let (file, state) = (self.node_folder(node).join("sites.sexp"), self.node_folder(node).join("state"));
        let arguments =
            [PROGRAM, "serve", "-v", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
        Node::start_command(&[&arguments, more].concat(), &config)
    }
}

impl Drop for SiteFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Writes the authentication code of a file beside it, as `FILE.sexp.hmac`.
pub fn sign(path: &Path, text: &str) {
    let code = Keys::read(KEY).unwrap().mac(text.as_bytes());
    let hex: String = code.iter().map(|b| format!("{b:02x}")).collect();
    std::fs::write(path.with_extension("sexp.hmac"), hex).unwrap();
}
