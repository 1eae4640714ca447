//! The operators' file of quotas, as the node reads it.

use shorepath_audit::version::ContentHash;
use shorepath_message_auth::advice;
use shorepath_message_auth::keyring::{Keys, KeysError};
use shorepath_quota::config::Plan;
use shorepath_quota::ClockSkew;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What the node is told of the fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The operator's file.
    pub path: PathBuf,
    /// As it was read.
    pub plan: Plan,
    /// What stands for its text.
    pub content: ContentHash,
    /// The keys that it names, under which datagrams go.
    pub keys: Option<Keys>,
    /// How the clock is wrong; only tests have it so.
    pub skew: ClockSkew,
}

/// Why a node can't take part.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file of keys can't be used.
    #[error("{}: {}", path.display(), advice(source))]
    Keys {
        /// The file.
        path: PathBuf,
        /// Why.
        source: KeysError,
    },
    /// The file can't be used.
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
    /// The drift that clocks are held to can't be changed while grants are out.
    #[error("{}: (drift-ppm) can't change while the node runs", path.display())]
    Drift {
        /// The file.
        path: PathBuf,
    },
    /// The system gave no number by chance.
    #[error("no number by chance: {0}")]
    Chance(getrandom::Error),
}

/// The keys in a file that is its owner's alone.
pub(super) fn keys(path: &Path) -> Result<Keys, FleetError> {
    let unreadable = |source| FleetError::Unreadable { path: path.to_path_buf(), source };
    let wrong = |source| FleetError::Keys { path: path.to_path_buf(), source };
    let mut file = std::fs::File::open(path).map_err(unreadable)?;
    Keys::mode(file.metadata().map_err(unreadable)?.mode()).map_err(wrong)?;
    let mut text = String::new();
    file.read_to_string(&mut text).map_err(unreadable)?;
    Keys::read(&text).map_err(wrong)
}

impl FleetSettings {
    /// Read the file, in which a node of that name has to be listed.
    pub fn read(path: PathBuf, name: &str, skew: ClockSkew) -> Result<FleetSettings, FleetError> {
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(FleetError::Unreadable { path, source }),
        };
        let plan = shorepath_quota::config::read(&path.display().to_string(), &text)?;
        if plan.members.iter().all(|m| m.name != name) {
            return Err(FleetError::Unlisted { path, name: name.to_string() });
        }
        let keys = plan.key.as_deref().map(keys).transpose()?;
        Ok(FleetSettings { path, plan, content: ContentHash::of(text.as_bytes()), keys, skew })
    }
}
