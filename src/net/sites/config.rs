//! The files that a node of sites is configured by: sites, keys and accounts.

use super::unix;
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::{config as accounts, Change};
use shorepath_audit::version::ContentHash;
use shorepath_message_auth::keyring::{FileCodeError, Keys, KeysError};
use shorepath_placements::log::LogError;
use shorepath_quota::{ClockSkew, Micros};
use shorepath_sites::config::SitesConfig;
use shorepath_sites::config_history::{ConfigHistory, OldFileError};
use shorepath_sites::health::NoSiteError;
use shorepath_store::StoreError;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What the node is told of sites.
#[derive(Debug)]
pub struct SitesSettings {
    /// The operator's file.
    pub(super) path: PathBuf,
    /// The folder on a disk that lasts.
    pub(super) state: PathBuf,
    pub(super) plan: SitesConfig,
    /// What stands for the text of the file.
    pub(super) content: ContentHash,
    pub(super) keys: Keys,
    pub(super) accounts_file: Option<AccountsFile>,
    /// How the clock is wrong; only tests have it so.
    pub(super) skew: ClockSkew,
}

/// Why a node can't take part.
#[derive(Debug, Error)]
pub enum SitesError {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file of sites can't be used.
    #[error("{0}")]
    Wrong(#[from] shorepath_sexp::ParseErrors),
    /// The file of accounts can't be used.
    #[error("{0}")]
    Accounts(#[from] accounts::FileError),
    /// The keys can't be used.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Keys {
        /// The file.
        path: PathBuf,
        /// Why.
        source: KeysError,
    },
    /// A file's code is not believed.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Code {
        /// The file whose code it is.
        path: PathBuf,
        /// Why.
        source: FileCodeError,
    },
    /// The file does not list this node.
    #[error("{}: {name} is no (node ...) of a site; list it, or name the node otherwise", path.display())]
    Unlisted {
        /// The file.
        path: PathBuf,
        /// The node.
        name: String,
    },
    /// No folder was named.
    #[error("sites need a folder on a disk that lasts: name it with --state")]
    Stateless,
    /// What is kept can't be used.
    #[error("{}: {source}; two processes can't share a folder, and one that is damaged or of another version has to be moved away by hand", path.display())]
    Store {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: StoreError,
    },
    /// The log of placements can't be used.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Log {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: LogError,
    },
    /// The system gave no number by chance, or no thread.
    #[error("can't take part in sites: {0}")]
    System(String),
    /// The node is in no site.
    #[error("{0}")]
    NoSite(#[from] NoSiteError),
    /// The file of sites is older than one that was in force, or another one of its version.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Old {
        /// The file.
        path: PathBuf,
        /// Why.
        source: OldFileError,
    },
}

pub(super) fn text(path: &Path) -> Result<String, SitesError> {
    std::fs::read_to_string(path)
        .map_err(|source| SitesError::Unreadable { path: path.to_path_buf(), source })
}

/// A file whose detached code, in the file beside it, has to be the fleet's.
pub(super) fn signed(path: &Path, keys: &Keys) -> Result<String, SitesError> {
    let held = text(path)?;
    let code = text(&beside(path))?;
    let wrong = |source| SitesError::Code { path: path.to_path_buf(), source };
    keys.verify_file(held.as_bytes(), &code).map_err(wrong)?;
    Ok(held)
}

/// Where the code of a file is.
pub(super) fn beside(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".hmac");
    PathBuf::from(name)
}

impl SitesSettings {
    /// Read the file of sites, in which a node of that name has to be listed, with the keys and the accounts that it names.
    pub fn read(
        path: PathBuf,
        state: PathBuf,
        name: &str,
        skew: ClockSkew,
    ) -> Result<SitesSettings, SitesError> {
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        let text_of_file = text(&path)?;
        let plan = shorepath_sites::config::read(&path.display().to_string(), &text_of_file)?;
        if plan.node_named(name).is_none() {
            return Err(SitesError::Unlisted { path, name: name.to_string() });
        }
        let key = plan.key_path(&folder);
        let unusable = |source| SitesError::Keys { path: key.clone(), source };
        let mode = std::fs::metadata(&key).map(|m| m.permissions().mode());
        let mode = mode.map_err(|source| SitesError::Unreadable { path: key.clone(), source })?;
        Keys::mode(mode).map_err(unusable)?;
        let keys = Keys::read(&text(&key)?).map_err(unusable)?;
        // Whoever may declare a site lost may have others adopt its keys.
        if !plan.lost.is_empty() {
            signed(&path, &keys)?;
        }
        let accounts_file = match plan.accounts_path(&folder) {
            Some(file) => Some(accounts::read(&file.display().to_string(), &signed(&file, &keys)?)?),
            None => None,
        };
        let content = ContentHash::of(text_of_file.as_bytes());
        Ok(SitesSettings { path, state, plan, content, keys, accounts_file, skew })
    }

    /// Unix time by the node's clock.
    pub(super) fn wall(&self) -> Micros {
        unix() + self.skew.offset
    }

    /// The file of sites.
    pub fn config(&self) -> &SitesConfig {
        &self.plan
    }

    /// Whether it may hold after those that were in force here.
    pub(super) fn may_hold(&self, used: &ConfigHistory) -> Result<(), SitesError> {
        used.check(&self.plan).map_err(|source| SitesError::Old { path: self.path.clone(), source })
    }

    /// Where the accounts stand that the authority's file names.
    pub fn account_changes(&self) -> impl Iterator<Item = (&str, &Change)> {
        self.accounts_file.iter().flat_map(|d| &d.changes).map(|(name, change)| (name.as_str(), change))
    }
}
