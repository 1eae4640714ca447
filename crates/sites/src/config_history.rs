//! Record of the site configurations that a node has used, kept on its disk, so that an older configuration or an
//! older declaration of a lost site never takes effect again.

use crate::config::SitesConfig;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The declared loss of a site with the greatest number so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Loss {
    number: u64,
    /// The newest configuration still declares it.
    #[serde(rename = "holds")]
    in_newest: bool,
}

/// What a node remembers of earlier configurations to reject outdated ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigHistory {
    version: u64,
    digest: u32,
    lost: BTreeMap<String, Loss>,
}

/// Why a configuration may not be put into service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum OldFileError {
    /// This node has used a newer version.
    #[error("the file has (version {version}), and this node has already used version {used}")]
    #[diagnostic(help(
        "deploy the newest file; to go back to the content of an older one, give it a greater (version ...) and deploy it to all nodes"
    ))]
    Older {
        /// The version of the rejected configuration.
        version: u64,
        /// The newest version that this node has used.
        used: u64,
    },
    /// This node has used another configuration with the same version.
    #[error("the file differs from the one of (version {version}) that this node has used")]
    #[diagnostic(help("two files have one version: give the intended one a greater (version ...) and deploy it to all nodes"))]
    TwoFiles {
        /// The version that both have.
        version: u64,
    },
    /// A loss of the site with a greater number was declared before, or this one was declared and withdrawn.
    #[error("the file declares {site} lost by number {number}, and number {used} was declared before")]
    #[diagnostic(help("each loss of a site needs its own number: give this one a greater (number ...) and the file a greater (version ...)"))]
    OlderLoss {
        /// The site's name.
        site: String,
        /// The number of the rejected declaration.
        number: u64,
        /// The greatest number that was declared before.
        used: u64,
    },
}

impl ConfigHistory {
    /// Returns the version of the newest configuration that was used; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Checks whether a configuration may be put into service.
    ///
    /// # Errors
    /// If the configuration or one of its declared losses is outdated.
    pub fn check(&self, config: &SitesConfig) -> Result<(), OldFileError> {
        let SitesConfig { version, .. } = *config;
        if version < self.version {
            return Err(OldFileError::Older { version, used: self.version });
        }
        if version == self.version && config.digest() != self.digest {
            return Err(OldFileError::TwoFiles { version });
        }
        for declared in &config.lost {
            let Some(loss) = self.lost.get(&declared.site) else { continue };
            if declared.number < loss.number || (declared.number == loss.number && !loss.in_newest) {
                let (site, number) = (declared.site.clone(), declared.number);
                return Err(OldFileError::OlderLoss { site, number, used: loss.number });
            }
        }
        Ok(())
    }

    /// Records that a configuration, which has passed [`ConfigHistory::check`], is in service.
    pub fn record(&mut self, config: &SitesConfig) {
        (self.version, self.digest) = (config.version, config.digest());
        self.lost.values_mut().for_each(|loss| loss.in_newest = false);
        for declared in &config.lost {
            self.lost.insert(declared.site.clone(), Loss { number: declared.number, in_newest: true });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn config(version: u64, more: &str) -> SitesConfig {
        let text = format!(
            "(sites (version {version}) (fleet f) (key k) (site a (node n0 \"127.0.0.1:1\") (bears 1))
             (site b (node n1 \"127.0.0.1:2\") (bears 1)) {more})"
        );
        crate::config::read("t", &text).unwrap()
    }

    /// Versions 3 and 4 declared losses of b, version 5 declares none.
    #[rstest]
    #[case(4, "", Err(OldFileError::Older { version: 4, used: 5 }))]
    #[case(5, "", Ok(()))]
    #[case(5, "(hold 9 s)", Err(OldFileError::TwoFiles { version: 5 }))]
    #[case(6, "(hold 9 s)", Ok(()))]
    #[case(6, "(lost b (number 8))", Ok(()))]
    #[case(6, "(lost b (number 7))", Err(OldFileError::OlderLoss { site: "b".into(), number: 7, used: 7 }))]
    #[case(6, "(lost b (number 6))", Err(OldFileError::OlderLoss { site: "b".into(), number: 6, used: 7 }))]
    #[case(6, "(lost a (number 1))", Ok(()))]
    fn outdated_configurations_and_losses_are_rejected(
        #[case] version: u64,
        #[case] more: &str,
        #[case] expected: Result<(), OldFileError>,
    ) {
        let mut used = ConfigHistory::default();
        for (version, more) in [(3, "(lost b (number 6))"), (4, "(lost b (number 7))"), (5, "")] {
            let config = config(version, more);
            assert_eq!(used.check(&config), Ok(()));
            used.record(&config);
            // The configuration in service is accepted again, together with its declared loss.
            assert_eq!(used.check(&config), Ok(()));
        }
        assert_eq!(used.check(&config(version, more)), expected);
    }

    /// Guards against a digest that depends on local paths, which may differ between nodes.
    #[test]
    fn the_digest_ignores_local_paths() {
        let mut other = config(1, "(accounts x)");
        other.key = "elsewhere".into();
        assert_eq!(other.digest(), config(1, "").digest());
        assert_ne!(other.digest(), config(1, "(hold 9 s)").digest());
    }
}
