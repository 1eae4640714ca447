//! Which files of sites a node has gone by, as its disk remembers: one that is older than the newest of them never holds again, nor does an
//! older word that a site is lost.

use crate::config::SitesConfig;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The greatest loss that was declared of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Loss {
    number: u64,
    /// The newest file still has it.
    holds: bool,
}

/// All that has to be known of earlier files to tell whether one may hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigHistory {
    version: u64,
    digest: u32,
    lost: BTreeMap<String, Loss>,
}

/// Why a file may not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum OldFileError {
    /// A newer one was in force here.
    #[error("it is (version {version}), and this node has gone by version {used}")]
    #[diagnostic(help(
        "hand out the newest file; to go back to what an older one says, give that a greater (version ...) and hand it to all nodes"
    ))]
    Older {
        /// Its version.
        version: u64,
        /// The newest that was in force.
        used: u64,
    },
    /// Another one of that version was in force here.
    #[error("it is another file than the one of (version {version}) that this node has gone by")]
    #[diagnostic(help("two files of one version: give the one that is to hold a greater (version ...) and hand it to all nodes"))]
    TwoFiles {
        /// The version of both.
        version: u64,
    },
    /// A later loss of that site was declared before, or this one was, and was taken out.
    #[error("it declares {site} lost by number {number}, and number {used} was declared before")]
    #[diagnostic(help("each loss of a site has a number of its own: give this one a greater (number ...), and the file a greater (version ...)"))]
    OlderLoss {
        /// The site.
        site: String,
        /// The number of the line.
        number: u64,
        /// The greatest that was in force.
        used: u64,
    },
}

impl ConfigHistory {
    /// The version of the newest file; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a file may hold from now on.
    ///
    /// # Errors
    /// Why not.
    pub fn check(&self, plan: &SitesConfig) -> Result<(), OldFileError> {
        let SitesConfig { version, .. } = *plan;
        if version < self.version {
            return Err(OldFileError::Older { version, used: self.version });
        }
        if version == self.version && plan.digest() != self.digest {
            return Err(OldFileError::TwoFiles { version });
        }
        for declared in &plan.lost {
            let Some(loss) = self.lost.get(&declared.site) else { continue };
            if declared.number < loss.number || (declared.number == loss.number && !loss.holds) {
                let (site, number) = (declared.site.clone(), declared.number);
                return Err(OldFileError::OlderLoss { site, number, used: loss.number });
            }
        }
        Ok(())
    }

    /// That file, which may hold, does.
    pub fn record(&mut self, plan: &SitesConfig) {
        (self.version, self.digest) = (plan.version, plan.digest());
        self.lost.values_mut().for_each(|loss| loss.holds = false);
        for declared in &plan.lost {
            self.lost.insert(declared.site.clone(), Loss { number: declared.number, holds: true });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn plan(version: u64, more: &str) -> SitesConfig {
        let text = format!(
            "(sites (version {version}) (fleet f) (key k) (site a (node n0 \"127.0.0.1:1\") (bears 1))
             (site b (node n1 \"127.0.0.1:2\") (bears 1)) {more})"
        );
        crate::config::read("t", &text).unwrap()
    }

    /// After files 3 to 5, of which 3 and 4 declared a loss of b and 5 does not.
    #[rstest]
    #[case(4, "", Err(OldFileError::Older { version: 4, used: 5 }))]
    #[case(5, "", Ok(()))]
    #[case(5, "(hold 9 s)", Err(OldFileError::TwoFiles { version: 5 }))]
    #[case(6, "(hold 9 s)", Ok(()))]
    #[case(6, "(lost b (number 8))", Ok(()))]
    #[case(6, "(lost b (number 7))", Err(OldFileError::OlderLoss { site: "b".into(), number: 7, used: 7 }))]
    #[case(6, "(lost b (number 6))", Err(OldFileError::OlderLoss { site: "b".into(), number: 6, used: 7 }))]
    #[case(6, "(lost a (number 1))", Ok(()))]
    fn an_older_file_and_an_older_loss_never_hold(
        #[case] version: u64,
        #[case] more: &str,
        #[case] may: Result<(), OldFileError>,
    ) {
        let mut used = ConfigHistory::default();
        for (version, more) in [(3, "(lost b (number 6))"), (4, "(lost b (number 7))"), (5, "")] {
            let plan = plan(version, more);
            assert_eq!(used.check(&plan), Ok(()));
            used.record(&plan);
            // The same file again, a loss that holds among it, is no older one.
            assert_eq!(used.check(&plan), Ok(()));
        }
        assert_eq!(used.check(&plan(version, more)), may);
    }

    /// Where its key and its accounts lie is each node's own.
    #[test]
    fn one_file_is_known_by_what_all_nodes_have_to_agree_on() {
        let mut other = plan(1, "(accounts x)");
        other.key = "elsewhere".into();
        assert_eq!(other.digest(), plan(1, "").digest());
        assert_ne!(other.digest(), plan(1, "(hold 9 s)").digest());
    }
}
