//! Reads the operators' budgets file.

use shorepath_audit::version::ContentHash;
use shorepath_message_auth::advice;
use shorepath_message_auth::keyring::{Keys, KeysError};
use shorepath_quota::config::Plan;
use shorepath_quota::ClockSkew;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The budgets file of a node and what was read with it.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Path of the budgets file.
    pub path: PathBuf,
    /// Quotas, allocators and members that the budgets file lists.
    pub plan: Plan,
    /// Hash of the file's text.
    pub content: ContentHash,
    /// Keys that authenticate datagrams; `None` if the file names no key file.
    pub keys: Option<Keys>,
    /// Simulated error of the clock; zero outside of tests.
    pub skew: ClockSkew,
}

/// Why a node can't join the fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The key file can't be used.
    #[error("{}: {}", path.display(), advice(source))]
    Keys {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: KeysError,
    },
    /// The budgets file has errors.
    #[error("{0}")]
    Wrong(#[from] shorepath_sexp::ParseErrors),
    /// The file does not list this node.
    #[error("{}: {name} is no (node ...) of the file", path.display())]
    Unlisted {
        /// The file.
        path: PathBuf,
        /// The node.
        name: String,
    },
    /// A reload changes the allowed clock drift, on which the periods of issued grants depend.
    #[error("{}: (drift-ppm) can't change while the node runs", path.display())]
    Drift {
        /// The file.
        path: PathBuf,
    },
    /// The operating system provided no random number.
    #[error("the operating system provided no random number: {0}")]
    Chance(getrandom::Error),
}

/// Reads a key file, which only its owner may be able to read.
pub(super) fn read_keys(path: &Path) -> Result<Keys, FleetError> {
    let unreadable = |source| FleetError::Unreadable { path: path.to_path_buf(), source };
    let wrong = |source| FleetError::Keys { path: path.to_path_buf(), source };
    let mut file = std::fs::File::open(path).map_err(unreadable)?;
    Keys::check_file_mode(file.metadata().map_err(unreadable)?.mode()).map_err(wrong)?;
    let mut text = String::new();
    file.read_to_string(&mut text).map_err(unreadable)?;
    Keys::read(&text).map_err(wrong)
}

impl FleetSettings {
    /// Reads the budgets file, which has to list a node called `name`, and the key file that it names.
    ///
    /// # Errors
    /// Fails if a file can't be read or used, or if the node is not listed.
    pub fn read(path: PathBuf, name: &str, skew: ClockSkew) -> Result<FleetSettings, FleetError> {
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(FleetError::Unreadable { path, source }),
        };
        let plan = shorepath_quota::config::read(&path.display().to_string(), &text)?;
        if plan.members.iter().all(|m| m.name != name) {
            return Err(FleetError::Unlisted { path, name: name.to_string() });
        }
        let keys = plan.key.as_deref().map(read_keys).transpose()?;
        Ok(FleetSettings { path, plan, content: ContentHash::of(text.as_bytes()), keys, skew })
    }
}
