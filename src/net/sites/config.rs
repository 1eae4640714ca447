//! Reads the files that configure a node of a fleet of sites: the sites file, the keys and the accounts.

use super::unix_micros;
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::{config as accounts, Change};
use shorepath_audit::version::ContentHash;
use shorepath_message_auth::keyring::{FileMacError, Keys, KeysError};
use shorepath_placements::log::LogError;
use shorepath_quota::{ClockSkew, Micros};
use shorepath_sites::config::SitesConfig;
use shorepath_sites::config_history::{ConfigHistory, OldFileError};
use shorepath_sites::health::NoSiteError;
use shorepath_store::StoreError;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The sites file of a node and the files that it names.
#[derive(Debug)]
pub struct SitesSettings {
    /// Path of the sites file.
    pub(super) path: PathBuf,
    /// Folder for data that must survive a restart.
    pub(super) state: PathBuf,
    pub(super) config: SitesConfig,
    /// Hash of the text of the sites file.
    pub(super) content: ContentHash,
    pub(super) keys: Keys,
    pub(super) accounts_file: Option<AccountsFile>,
    /// Simulated error of the clock; zero outside of tests.
    pub(super) skew: ClockSkew,
}

/// Why a node can't join the sites.
#[derive(Debug, Error)]
pub enum SitesError {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The sites file has errors.
    #[error("{0}")]
    Wrong(#[from] shorepath_sexp::ParseErrors),
    /// The accounts file has errors.
    #[error("{0}")]
    Accounts(#[from] accounts::FileError),
    /// The keys can't be used.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Keys {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: KeysError,
    },
    /// A file's authentication code doesn't match.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Code {
        /// The file that was authenticated.
        path: PathBuf,
        /// The reason.
        source: FileMacError,
    },
    /// The file does not list this node.
    #[error("{}: {name} is no (node ...) of a site; list it, or name the node otherwise", path.display())]
    Unlisted {
        /// The file.
        path: PathBuf,
        /// The node.
        name: String,
    },
    /// No folder for persistent data was configured.
    #[error("sites need a folder on a disk that lasts: name it with --state")]
    Stateless,
    /// The store in the state folder can't be opened or read: another process uses it, or it is damaged or of another version.
    #[error("{}: {source}; two processes can't share a folder, and one that is damaged or of another version has to be moved away by hand", path.display())]
    Store {
        /// The state folder (`--state`).
        path: PathBuf,
        /// The reason.
        source: StoreError,
    },
    /// The placement log can't be used.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Log {
        /// The state folder (`--state`).
        path: PathBuf,
        /// The reason.
        source: LogError,
    },
    /// The operating system provided no random number or no thread.
    #[error("the operating system provided no random number or no thread: {0}")]
    System(String),
    /// The node is in no site.
    #[error("{0}")]
    NoSite(#[from] NoSiteError),
    /// The sites file is older than one that was in force, or differs from one with the same version.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Old {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: OldFileError,
    },
}

pub(super) fn read_text(path: &Path) -> Result<String, SitesError> {
    std::fs::read_to_string(path)
        .map_err(|source| SitesError::Unreadable { path: path.to_path_buf(), source })
}

/// Reads a file and verifies its authentication code, which is in the file beside it.
pub(super) fn read_signed(path: &Path, keys: &Keys) -> Result<String, SitesError> {
    let text = read_text(path)?;
    let code = read_text(&code_path(path))?;
    let wrong = |source| SitesError::Code { path: path.to_path_buf(), source };
    keys.verify_file(text.as_bytes(), &code).map_err(wrong)?;
    Ok(text)
}

/// Returns the path of a file's authentication code.
pub(super) fn code_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".hmac");
    PathBuf::from(name)
}

impl SitesSettings {
    /// Reads the sites file, which has to list a node called `name`, and the key and accounts files that it names.
    ///
    /// # Errors
    /// Fails if a file can't be read or used, or if the node is not listed.
    pub fn read(
        path: PathBuf,
        state: PathBuf,
        name: &str,
        skew: ClockSkew,
    ) -> Result<SitesSettings, SitesError> {
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        let text_of_file = read_text(&path)?;
        let config = shorepath_sites::config::read(&path.display().to_string(), &text_of_file)?;
        if config.node_named(name).is_none() {
            return Err(SitesError::Unlisted { path, name: name.to_string() });
        }
        let key = config.key_path(&folder);
        let unusable = |source| SitesError::Keys { path: key.clone(), source };
        let mode = std::fs::metadata(&key).map(|m| m.permissions().mode());
        let mode = mode.map_err(|source| SitesError::Unreadable { path: key.clone(), source })?;
        Keys::check_file_mode(mode).map_err(unusable)?;
        let keys = Keys::read(&read_text(&key)?).map_err(unusable)?;
        // Declaring a site lost lets other nodes adopt its keys, so the file must be authenticated.
        if !config.lost.is_empty() {
            read_signed(&path, &keys)?;
        }
        let accounts_file = match config.accounts_path(&folder) {
            Some(file) => Some(accounts::read(&file.display().to_string(), &read_signed(&file, &keys)?)?),
            None => None,
        };
        let content = ContentHash::of(text_of_file.as_bytes());
        Ok(SitesSettings { path, state, config, content, keys, accounts_file, skew })
    }

    /// Returns the Unix time by the node's clock, in microseconds.
    pub(super) fn unix_now(&self) -> Micros {
        unix_micros() + self.skew.offset
    }

    /// Returns the parsed sites file.
    pub fn config(&self) -> &SitesConfig {
        &self.config
    }

    /// Checks that the sites file may replace those that were in force on this node.
    pub(super) fn check_history(&self, config_history: &ConfigHistory) -> Result<(), SitesError> {
        config_history
            .check(&self.config)
            .map_err(|source| SitesError::Old { path: self.path.clone(), source })
    }

    /// Returns the accounts of the accounts file with their standing; none without an accounts file.
    pub fn account_changes(&self) -> impl Iterator<Item = (&str, &Change)> {
        self.accounts_file.iter().flat_map(|d| &d.changes).map(|(name, change)| (name.as_str(), change))
    }
}
