//! What the node is told as it starts: a JSON file, and variables that take its place.

use super::server_table::{EntryError, Listing};
use super::sites::SitesSettings;
use serde::Deserialize;
use serde_json::Value;
use shorepath_audit::version::ContentHash;
use shorepath_quota::config::{Budget, BudgetKind, Plan};
use shorepath_scheduler::{SettingsError, SettingsObject};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Descriptors that are neither a client's nor a backend server's: the standard streams (3), the
/// runtime's and the signals' (4), both listeners, discovery old and new, callers at the door (8), the
/// handover's (2), one connection too many on either side (2); and some to spare.
pub const OWN_SOCKETS: usize = 32;

/// All that the node is told.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub mgmt: Option<SocketAddr>,
    /// Where it is by the file alone, whatever the environment says.
    filed: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What it may use, as far as the system lets it.
    pub limits: Limits,
    /// The descriptors that the system lets it have, where these are fewer than the file says.
    pub fewer: Option<usize>,
    /// The list of backend servers as last held.
    pub known: Listing,
    /// What stands for the settings as they are written, in the order of their keys.
    pub settings: ContentHash,
    /// The settings object.
    pub setup: SettingsObject,
    /// All keys of the file, each with the way to it.
    keys: BTreeSet<String>,
}

/// What the node may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// Open descriptors.
    pub sockets: usize,
}

impl Limits {
    /// How many connections either side may hold in a process that is one of so many which share these
    /// limits. Clients may use a third of all descriptors for their requests, and each of these a
    /// connection to a backend server; what memory they take is bounded by itself.
    pub fn connections(&self, parts: u32) -> usize {
        let parts = parts.max(1) as usize;
        (self.sockets.saturating_sub(OWN_SOCKETS * parts) / (2 * parts)).max(4)
    }
    /// How much all messages may hold, in bytes. What is held of each is written through a second
    /// buffer, and the other half is for the rest of the program.
    pub fn messages(&self) -> usize {
        self.memory_mb * 1024 * 1024 / 4
    }
}

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file was named.
    #[error("no configuration: name a file with --config or in ROUTER_CONFIG")]
    Unnamed,
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not such an object.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// A field's value is none.
    #[error("'{field}' is no {wanted}: '{value}'")]
    Value {
        /// The field or variable.
        field: &'static str,
        /// What it should be.
        wanted: &'static str,
        /// What it is.
        value: String,
    },
    /// A known backend server can't be used.
    #[error("'known': {0}")]
    Known(#[from] EntryError),
    /// Nothing could be served by the settings.
    #[error("'settings' {0}")]
    Settings(#[from] SettingsError),
    /// A key is missing that the configuration in force has.
    #[error("'{0}' is missing")]
    Missing(String),
    /// There is no room for connections.
    #[error("'limits.sockets' is {0}: at least {least} are needed", least = OWN_SOCKETS + 16)]
    FewSockets(usize),
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: String,
    discovery: String,
    mgmt: Option<String>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Listing,
    settings: SettingsObject,
}

impl Config {
    /// Read the file; `variable` looks a variable of the environment up.
    pub fn read(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let text = std::fs::read(path)
            .map_err(|source| ConfigError::Unreadable { path: path.to_path_buf(), source })?;
        let malformed = |source| ConfigError::Malformed { path: path.to_path_buf(), source };
        let file: File = serde_json::from_slice(&text).map_err(malformed)?;
        let whole: Value = serde_json::from_slice(&text).map_err(malformed)?;
        let keys = keys(&whole);
        let settings = ContentHash::of(whole["settings"].to_string().as_bytes());
        let address = |field, value: String| {
            let wrong = |_| ConfigError::Value { field, wanted: "address with a port", value: value.clone() };
            value.parse().map_err(wrong)
        };
        let filed = file.discovery.parse().ok();
        let listen = address("listen", variable("ROUTER_LISTEN").unwrap_or(file.listen))?;
        let discovery = address("discovery", variable("ROUTER_DISCOVERY").unwrap_or(file.discovery))?;
        let mgmt = variable("ROUTER_MGMT").or(file.mgmt).map(|value| address("mgmt", value)).transpose()?;
        let seed = match file.seed.as_str() {
            "" => 0,
            text => u64::from_str_radix(text, 16).map_err(|_| ConfigError::Value {
                field: "seed",
                wanted: "hexadecimal number of 64 bits",
                value: text.to_string(),
            })?,
        };
        file.known.check()?;
        file.settings.validate()?;
        if file.limits.sockets < OWN_SOCKETS + 16 {
            return Err(ConfigError::FewSockets(file.limits.sockets));
        }
        // Guards what is kept for servers and discovery against clients that take all the descriptors there are.
        let most = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let fewer = most.map(|n| n as usize).filter(|n| *n < file.limits.sockets);
        let limits = Limits { sockets: fewer.unwrap_or(file.limits.sockets), ..file.limits };
        Ok(Config {
            name: variable("ROUTER_NAME").unwrap_or(file.name),
            listen,
            discovery,
            mgmt,
            filed,
            seed,
            limits,
            fewer,
            known: file.known,
            settings,
            setup: file.settings,
            keys,
        })
    }

    /// Read the file again, as it has been replaced. Guards against following a discovery for ever that
    /// the environment named as the node started: what the file says now is newer.
    pub fn read_again(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::read(path, |name| (name != "ROUTER_DISCOVERY").then(|| variable(name)).flatten())
    }

    /// The budgets of a plan that name a tenant or a class which the settings don't.
    pub fn strangers(&self, plan: &Plan) -> Vec<String> {
        let (_, names) = self.setup.to_settings();
        let known = |b: &&Budget| match BudgetKind::of(&b.name) {
            Some(BudgetKind::Quota(tenant)) => names.tenants.get(tenant).is_some(),
            Some(BudgetKind::Flight(class)) => names.classes.get(class).is_some(),
            _ => true,
        };
        plan.budgets.iter().filter(|b| !known(b)).map(|b| b.name.clone()).collect()
    }

    /// The tenants and classes that the file of sites names, or the one of accounts, and the settings don't.
    pub fn strange_in_sites(&self, siting: &SitesSettings) -> Vec<String> {
        let (_, names) = self.setup.to_settings();
        let plan = siting.config();
        let spillover = plan.remote_percent.values().flat_map(|l| l.keys());
        let classes = plan
            .guarded_classes
            .iter()
            .chain(plan.min_remote_percent.keys())
            .chain(spillover)
            .map(String::as_str);
        let tenants =
            plan.credits.iter().map(|c| c.tenant.as_str()).chain(siting.account_changes().map(|a| a.0));
        let strange = classes.filter(|c| names.classes.get(c).is_none());
        let strange = strange.chain(tenants.filter(|t| names.tenants.get(t).is_none()));
        strange.map(str::to_string).collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Take over from a newer one what may change while the node runs: where discovery is, if the file
    /// names another one, and the settings. Then what has changed that only a restart brings. One that
    /// can't be used changes nothing at all.
    pub fn renew(&mut self, newer: Config) -> Result<Renewed, ConfigError> {
        // Guards against a file that was cut short or written by halves: where a key is left out its
        // default would take the place of the value in force, unseen.
        if let Some(key) = self.keys.difference(&newer.keys).next() {
            return Err(ConfigError::Missing(key.clone()));
        }
        let same = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("mgmt", self.mgmt == newer.mgmt),
            ("limits", self.limits == newer.limits),
        ];
        let waits = same.into_iter().filter(|(_, same)| !same).map(|(field, _)| field).collect();
        let moved = newer.filed.filter(|_| newer.filed != self.filed);
        let is_reconfigured = self.setup != newer.setup;
        self.filed = newer.filed;
        self.discovery = moved.unwrap_or(self.discovery);
        self.setup = newer.setup;
        self.settings = newer.settings;
        self.keys = newer.keys;
        Ok(Renewed { moved, is_reconfigured, waits })
    }
}

/// What a newer configuration changes.
#[derive(Debug)]
pub struct Renewed {
    /// Discovery is there now.
    pub moved: Option<SocketAddr>,
    /// The settings are others.
    pub is_reconfigured: bool,
    /// What has changed that only a restart brings.
    pub waits: Vec<&'static str>,
}

/// Keys that may be left out, and one under which the entries need not be alike.
const OPTIONAL: [&str; 2] = ["aim_stretch", "members"];

/// All keys of an object and of those in it, each with the way to it. Of the objects of a list those
/// that all have, so that no entry can lack one.
fn keys(value: &Value) -> BTreeSet<String> {
    match value {
        Value::Object(fields) => {
            let mut all = BTreeSet::new();
            for (name, value) in fields.iter().filter(|(name, _)| !OPTIONAL.contains(&name.as_str())) {
                all.extend(keys(value).into_iter().map(|key| format!("{name}.{key}")));
                all.insert(name.clone());
            }
            all
        }
        Value::Array(entries) => {
            let each = entries.iter().map(keys);
            each.reduce(|all, one| all.intersection(&one).cloned().collect()).unwrap_or_default()
        }
        _ => BTreeSet::new(),
    }
}
