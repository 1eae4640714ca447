//! The node's configuration: a JSON file, and environment variables that override its fields.

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

/// Descriptors reserved for other uses than connections to clients and backend servers: the standard streams (3), the runtime
/// and signals (4), both listeners, the old and the new connection to discovery, operators' connections (8), the handover (2),
/// excess connections to clients (4) and one to a backend server, and a margin.
pub const RESERVED_SOCKETS: usize = 32;
/// The memory for messages is this many times the memory for the ids of ended requests.
const USED_ID_DIVISOR: usize = 16;

/// The configuration of a node.
#[derive(Debug)]
pub struct Config {
    /// Name of the node.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address at which operators connect; `None` without one.
    pub mgmt: Option<SocketAddr>,
    /// The address of discovery in the file, without the environment's override; `None` if it is not valid.
    file_discovery: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The resource limits of the file, lowered to what the system allows.
    pub limits: Limits,
    /// The system's limit of descriptors if it is lower than the file's; `None` otherwise.
    pub descriptor_limit: Option<usize>,
    /// The backend servers to use until discovery sends its list.
    pub known_servers: Listing,
    /// Hash of the settings object, serialized with sorted keys.
    pub settings_hash: ContentHash,
    /// The settings of the scheduler.
    pub settings: SettingsObject,
    /// Paths of all keys in the file.
    keys: BTreeSet<String>,
}

/// Resource limits of the node.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// Number of open descriptors.
    pub sockets: usize,
}

impl Limits {
    /// Returns how many connections to clients, and how many to backend servers, each of `processes` processes that share the
    /// limits may hold. At least a third of all descriptors is for clients and as many are for their dispatches. Memory
    /// is limited separately.
    pub fn connections(&self, processes: u32) -> usize {
        let processes = processes.max(1) as usize;
        (self.sockets.saturating_sub(RESERVED_SOCKETS * processes) / (2 * processes)).max(4)
    }

    /// Returns how many bytes the ids of ended requests may take that must not run again.
    pub fn used_id_bytes(&self) -> usize {
        self.message_bytes() / USED_ID_DIVISOR
    }

    /// Returns how many bytes all messages together may take that the node holds, complete or in part. This is a quarter of the
    /// memory: lists of discovery may take another, and half of the memory is for the rest of the program.
    pub fn message_bytes(&self) -> usize {
        self.memory_mb * 1024 * 1024 / 4
    }
}

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a file.
    #[error("no configuration: name a file with --config or in ROUTER_CONFIG")]
    NoFile,
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The file is not a JSON object with the required fields.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: serde_json::Error,
    },
    /// A field has a value of the wrong form.
    #[error("'{field}' is not a valid {expected}: '{value}'")]
    InvalidValue {
        /// Name of the field.
        field: &'static str,
        /// Description of a valid value.
        expected: &'static str,
        /// The invalid value.
        value: String,
    },
    /// A backend server listed in the file has no valid address.
    #[error("'known': {0}")]
    InvalidServer(#[from] EntryError),
    /// The settings are not valid.
    #[error("'settings' {0}")]
    Settings(#[from] SettingsError),
    /// A reloaded file lacks a key that the configuration in force has.
    #[error("'{0}' is missing")]
    MissingKey(String),
    /// The descriptors do not suffice for any connections.
    #[error("'limits.sockets' is {0}: at least {minimum} are needed", minimum = RESERVED_SOCKETS + 16)]
    TooFewSockets(usize),
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
    /// Reads the file at `path`; `variable` looks up an environment variable.
    ///
    /// # Errors
    /// Fails if the file can't be read or a value is not valid.
    pub fn read(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let text = std::fs::read(path)
            .map_err(|source| ConfigError::Unreadable { path: path.to_path_buf(), source })?;
        let malformed = |source| ConfigError::Malformed { path: path.to_path_buf(), source };
        let file: File = serde_json::from_slice(&text).map_err(malformed)?;
        let json: Value = serde_json::from_slice(&text).map_err(malformed)?;
        let keys = key_paths(&json);
        let settings_hash = ContentHash::of(json["settings"].to_string().as_bytes());
        let address = |field, value: String| {
            let invalid = |_| ConfigError::InvalidValue {
                field,
                expected: "address with a port",
                value: value.clone(),
            };
            value.parse().map_err(invalid)
        };
        let file_discovery = file.discovery.parse().ok();
        let listen = address("listen", variable("ROUTER_LISTEN").unwrap_or(file.listen))?;
        let discovery = address("discovery", variable("ROUTER_DISCOVERY").unwrap_or(file.discovery))?;
        let mgmt = variable("ROUTER_MGMT").or(file.mgmt).map(|value| address("mgmt", value)).transpose()?;
        let seed = match file.seed.as_str() {
            "" => 0,
            text => u64::from_str_radix(text, 16).map_err(|_| ConfigError::InvalidValue {
                field: "seed",
                expected: "64-bit hexadecimal number",
                value: text.to_string(),
            })?,
        };
        file.known.check()?;
        file.settings.validate()?;
        if file.limits.sockets < RESERVED_SOCKETS + 16 {
            return Err(ConfigError::TooFewSockets(file.limits.sockets));
        }
        // Guards the descriptors for backend servers and discovery: under a lower limit of the system, clients would use them up.
        let system_limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let descriptor_limit = system_limit.map(|n| n as usize).filter(|n| *n < file.limits.sockets);
        let limits = Limits { sockets: descriptor_limit.unwrap_or(file.limits.sockets), ..file.limits };
        Ok(Config {
            name: variable("ROUTER_NAME").unwrap_or(file.name),
            listen,
            discovery,
            mgmt,
            file_discovery,
            seed,
            limits,
            descriptor_limit,
            known_servers: file.known,
            settings_hash,
            settings: file.settings,
            keys,
        })
    }

    /// Reads the file again after it was replaced. The environment no longer overrides the address of discovery: the file is newer
    /// than the environment, which is fixed at the start.
    ///
    /// # Errors
    /// Fails as [`Config::read`] does.
    pub fn reload(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::read(path, |name| (name != "ROUTER_DISCOVERY").then(|| variable(name)).flatten())
    }

    /// Returns the budgets of a plan whose tenant or class the settings do not define.
    pub fn unknown_budgets(&self, plan: &Plan) -> Vec<String> {
        let (_, names) = self.settings.to_settings();
        let is_known = |b: &&Budget| match BudgetKind::of(&b.name) {
            Some(BudgetKind::Quota(tenant)) => names.tenants.get(tenant).is_some(),
            Some(BudgetKind::Flight(class)) => names.classes.get(class).is_some(),
            _ => true,
        };
        plan.budgets.iter().filter(|b| !is_known(b)).map(|b| b.name.clone()).collect()
    }

    /// Returns the sorted names of tenants and classes that the sites file or the accounts file uses and the settings do
    /// not define.
    pub fn unknown_names(&self, sites_settings: &SitesSettings) -> Vec<String> {
        let (_, names) = self.settings.to_settings();
        let sites_config = sites_settings.config();
        let spillover = sites_config.remote_percent.values().flat_map(|l| l.keys());
        let classes = sites_config
            .guarded_classes
            .iter()
            .chain(sites_config.min_remote_percent.keys())
            .chain(spillover)
            .map(String::as_str);
        let tenants = sites_config
            .credits
            .iter()
            .map(|c| c.tenant.as_str())
            .chain(sites_settings.account_changes().map(|a| a.0));
        let unknown = classes.filter(|c| names.classes.get(c).is_none());
        let unknown = unknown.chain(tenants.filter(|t| names.tenants.get(t).is_none()));
        unknown.map(str::to_string).collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Takes over from a newer configuration what may change while the node runs: the address of discovery, if it differs from
    /// the previous file's, and the settings. Returns what changed.
    ///
    /// # Errors
    /// Fails without any change if the newer file lacks a key that this one has.
    pub fn update(&mut self, newer: Config) -> Result<ConfigChanges, ConfigError> {
        // Guards against a truncated or partly written file: the default of a missing key would silently replace the
        // value in force.
        if let Some(key) = self.keys.difference(&newer.keys).next() {
            return Err(ConfigError::MissingKey(key.clone()));
        }
        let same = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("mgmt", self.mgmt == newer.mgmt),
            ("limits", self.limits == newer.limits),
        ];
        let needs_restart = same.into_iter().filter(|(_, same)| !same).map(|(field, _)| field).collect();
        let new_discovery = newer.file_discovery.filter(|_| newer.file_discovery != self.file_discovery);
        let settings_changed = self.settings != newer.settings;
        self.file_discovery = newer.file_discovery;
        self.discovery = new_discovery.unwrap_or(self.discovery);
        self.settings = newer.settings;
        self.settings_hash = newer.settings_hash;
        self.keys = newer.keys;
        Ok(ConfigChanges { new_discovery, settings_changed, needs_restart })
    }
}

/// The differences between a configuration and a newer one.
#[derive(Debug)]
pub struct ConfigChanges {
    /// The new address of discovery; `None` if it stays.
    pub new_discovery: Option<SocketAddr>,
    /// The settings differ.
    pub settings_changed: bool,
    /// Changed fields that take effect only after a restart.
    pub needs_restart: Vec<&'static str>,
}

/// A key that may be left out, and one whose entries may have different keys.
const OPTIONAL_KEYS: [&str; 2] = ["aim_stretch", "members"];

/// Returns the dotted paths of all keys in a value. Of the objects in an array only the keys that all of them have count, so that
/// a missing key in any entry is noticed.
fn key_paths(value: &Value) -> BTreeSet<String> {
    match value {
        Value::Object(fields) => {
            let mut paths = BTreeSet::new();
            for (name, value) in fields.iter().filter(|(name, _)| !OPTIONAL_KEYS.contains(&name.as_str())) {
                paths.extend(key_paths(value).into_iter().map(|key| format!("{name}.{key}")));
                paths.insert(name.clone());
            }
            paths
        }
        Value::Array(entries) => {
            let each = entries.iter().map(key_paths);
            each.reduce(|common, paths| common.intersection(&paths).cloned().collect()).unwrap_or_default()
        }
        _ => BTreeSet::new(),
    }
}
