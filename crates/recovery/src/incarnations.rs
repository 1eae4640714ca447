//! What nodes remember of each other's disks and processes.
//!
//! From the peers' replies a node learns whether its disk is the last one that it wrote, and whether it lost power alone. Once the
//! disk is classified, the node *claims* its incarnation: each peer stores it before it confirms it. The node acts only after every
//! peer has a complete disk and has confirmed this very incarnation, so that a disk of an earlier one is always recognized.

use crate::disk_trust::DiskState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A process that was started with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DiskIncarnation {
    /// Random number drawn when the disk was initialized.
    pub disk: u64,
    /// How many processes have started with the disk, including this one.
    pub boots: u64,
    /// Random number drawn when the process started.
    #[serde(rename = "life")]
    pub process: u64,
}

/// A recovery message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Message {
    /// Asks what the receiver remembers of the sender.
    Ask {
        /// The sender's incarnation.
        me: DiskIncarnation,
        /// Whether the receiver is to store this incarnation.
        claims: bool,
    },
    /// Answers a [`Message::Ask`].
    #[serde(rename = "tell")]
    Reply(Reply),
}

/// A peer's answer to [`Message::Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The process that asked; another process ignores the reply.
    pub to: u64,
    /// The asking node's last incarnation on the peer's disk; `None` if there is none.
    pub known: Option<DiskIncarnation>,
    /// Whether `known` is another process than the asking one and was active recently.
    #[serde(rename = "lives")]
    pub other_alive: bool,
    /// Whether the peer's disk has all its records of at-most-once requests, or an operator accepted that some are missing.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the peer kept power since it last had contact with an earlier process of the asking node, or serves and never had
    /// contact with that node.
    #[serde(rename = "outlived")]
    pub kept_power: bool,
}

/// How far a peer has confirmed this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerState {
    /// No reply to this process yet.
    Silent,
    /// Records of at-most-once requests may be missing on the peer's disk.
    NotWhole,
    /// The peer has not stored this incarnation yet.
    Unclaimed,
    /// The peer's disk is complete and remembers this incarnation.
    Counts,
}

/// The peers' replies to this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    me: DiskIncarnation,
    /// Whether the disk has never been complete for this node.
    is_new: bool,
    replies: BTreeMap<u32, Option<Reply>>,
}

impl Peers {
    /// Returns a table without peers for this incarnation.
    ///
    /// `is_new` is whether the disk has never been complete: it was just initialized, or missing records were never accepted.
    pub fn new(me: DiskIncarnation, is_new: bool) -> Peers {
        Peers { me, is_new, replies: BTreeMap::new() }
    }

    /// Sets the peers; replies of peers that stay are kept.
    pub fn set_peers(&mut self, peers: &[u32]) {
        self.replies.retain(|node, _| peers.contains(node));
        for node in peers {
            self.replies.entry(*node).or_insert(None);
        }
    }

    /// Records a peer's reply; one to another process or from an unknown node is ignored.
    pub fn record_reply(&mut self, from: u32, reply: Reply) {
        if reply.to != self.me.process {
            return;
        }
        if let Some(last) = self.replies.get_mut(&from) {
            // A peer that has stored this incarnation no longer reports on earlier ones.
            let kept_power = reply.kept_power || last.as_ref().is_some_and(|r| r.kept_power);
            *last = Some(Reply { kept_power, ..reply });
        }
    }

    /// Classifies the node's own disk; `None` while a missing reply could still change the result.
    pub fn classify_disk(&self) -> Option<DiskState> {
        let other_process = |known: &DiskIncarnation| known.process != self.me.process;
        for (known, other_alive) in self
            .replies
            .values()
            .flatten()
            .filter_map(|r| Some((r.known.filter(other_process)?, r.other_alive)))
        {
            let same_disk = known.disk == self.me.disk;
            match (same_disk, self.is_new) {
                // The node's previous disk is lost.
                (false, true) => return Some(DiskState::Lost),
                (false, false) => return Some(DiskState::Old),
                (true, _) if known.boots >= self.me.boots && other_alive => return Some(DiskState::Copied),
                (true, _) if known.boots >= self.me.boots => return Some(DiskState::Old),
                // An earlier process already found this disk incomplete.
                (true, true) => return Some(DiskState::Old),
                _ => {}
            }
        }
        if self.replies.is_empty() || self.replies.values().any(Option::is_none) {
            return None;
        }
        // No reply contradicts the disk. A new disk is accepted if a peer with complete records doesn't know the node.
        match self.is_new && !self.replies.values().flatten().any(|r| r.complete) {
            true => Some(DiskState::Lost),
            false => Some(DiskState::Own),
        }
    }

    /// Whether every peer has a complete disk and remembers this incarnation; `false` without peers.
    pub fn all_confirmed(&self) -> bool {
        !self.replies.is_empty() && self.states().all(|(_, state)| state == PeerState::Counts)
    }

    /// Returns each peer's number and state.
    pub fn states(&self) -> impl Iterator<Item = (u32, PeerState)> + '_ {
        self.replies.iter().map(|(node, reply)| {
            let state = match reply {
                None => PeerState::Silent,
                Some(r) if !r.complete => PeerState::NotWhole,
                Some(r) if r.known != Some(self.me) => PeerState::Unclaimed,
                Some(_) => PeerState::Counts,
            };
            (*node, state)
        })
    }

    /// Whether this node lost power alone: at least half of the peers that replied kept power.
    pub fn is_local_outage(&self) -> bool {
        let (mut total, mut kept_power) = (0, 0);
        for reply in self.replies.values().flatten() {
            total += 1;
            kept_power += usize::from(reply.kept_power);
        }
        kept_power > 0 && 2 * kept_power >= total
    }

    /// Whether every peer has replied; `false` without peers.
    pub fn all_replied(&self) -> bool {
        !self.replies.is_empty() && self.replies.values().all(Option::is_some)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const ME: DiskIncarnation = DiskIncarnation { disk: 7, boots: 4, process: 40 };

    fn reply(known: Option<DiskIncarnation>, complete: bool) -> Reply {
        Reply { to: ME.process, known, other_alive: false, complete, kept_power: false }
    }

    #[rstest]
    #[case::unknown_to_all(None, false, Some(DiskState::Own))]
    #[case::previous_incarnation(Some(DiskIncarnation { boots: 3, process: 30, ..ME }), false, Some(DiskState::Own))]
    #[case::current_incarnation(Some(ME), false, Some(DiskState::Own))]
    #[case::outdated_disk(Some(DiskIncarnation { boots: 9, process: 90, ..ME }), false, Some(DiskState::Old))]
    #[case::snapshot_started_twice(Some(DiskIncarnation { process: 41, ..ME }), false, Some(DiskState::Old))]
    #[case::other_disk_used_last(Some(DiskIncarnation { disk: 8, boots: 1, process: 10 }), false, Some(DiskState::Old))]
    #[case::previous_disk_lost(Some(DiskIncarnation { disk: 8, boots: 1, process: 10 }), true, Some(DiskState::Lost))]
    #[case::found_incomplete_before(Some(DiskIncarnation { boots: 3, process: 30, ..ME }), true, Some(DiskState::Old))]
    #[case::new_node(None, true, Some(DiskState::Own))]
    fn disk_is_classified_by_remembered_incarnations(
        #[case] known: Option<DiskIncarnation>,
        #[case] is_new: bool,
        #[case] expected: Option<DiskState>,
    ) {
        let mut peers = Peers::new(ME, is_new);
        peers.set_peers(&[1, 2]);
        peers.record_reply(1, reply(known, true));
        // One reply is enough to reject a disk; accepting it takes all replies.
        let rejected = expected.filter(|d| *d != DiskState::Own);
        assert_eq!(peers.classify_disk(), rejected);
        peers.record_reply(2, reply(None, true));
        assert_eq!(peers.classify_disk(), expected);
    }

    #[test]
    fn disk_of_another_running_process_is_a_copy() {
        let mut peers = Peers::new(ME, false);
        peers.set_peers(&[1]);
        let known = Some(DiskIncarnation { process: 41, ..ME });
        peers.record_reply(1, Reply { other_alive: true, ..reply(known, true) });
        assert_eq!(peers.classify_disk(), Some(DiskState::Copied));
    }

    /// A new fleet and one that lost all its disks look alike, so an operator has to decide.
    #[test]
    fn disk_unknown_to_all_counts_as_lost_until_a_peer_is_complete() {
        let mut peers = Peers::new(ME, true);
        peers.set_peers(&[1, 2]);
        [1, 2].into_iter().for_each(|n| peers.record_reply(n, reply(None, false)));
        assert_eq!(peers.classify_disk(), Some(DiskState::Lost));
        peers.record_reply(2, reply(None, true));
        assert_eq!(peers.classify_disk(), Some(DiskState::Own));
    }

    #[test]
    fn peers_count_once_complete_and_aware_of_this_incarnation() {
        let mut peers = Peers::new(ME, false);
        assert!(!peers.all_confirmed() && !peers.all_replied());
        peers.set_peers(&[1, 2]);
        peers.record_reply(1, reply(Some(ME), true));
        peers.record_reply(2, Reply { to: 41, ..reply(Some(ME), true) });
        peers.record_reply(3, reply(Some(ME), true));
        assert!(!peers.all_confirmed());
        peers.record_reply(2, reply(Some(ME), false));
        assert_eq!(peers.states().collect::<Vec<_>>(), [(1, PeerState::Counts), (2, PeerState::NotWhole)]);
        peers.record_reply(2, reply(Some(DiskIncarnation { boots: 3, ..ME }), true));
        assert_eq!(peers.states().last(), Some((2, PeerState::Unclaimed)));
        peers.record_reply(2, reply(Some(ME), true));
        assert!(peers.all_confirmed());
        peers.set_peers(&[1]);
        assert!(peers.all_confirmed());
    }

    /// Guards against taking a fleet-wide outage for a local one because a single peer kept power.
    #[rstest]
    #[case::no_peer_kept_power(&[false, false], false)]
    #[case::one_of_three_kept_power(&[true, false, false], false)]
    #[case::half_kept_power(&[true, false], true)]
    #[case::all_peers_kept_power(&[true, true, true], true)]
    #[case::no_replies(&[], false)]
    fn local_outage_is_distinguished_from_fleet_outage(#[case] kept_power: &[bool], #[case] local: bool) {
        let mut peers = Peers::new(ME, false);
        let nodes: Vec<u32> = (0..5).collect();
        peers.set_peers(&nodes);
        for (node, kept_power) in nodes.iter().zip(kept_power) {
            peers.record_reply(*node, Reply { kept_power: *kept_power, ..reply(None, true) });
        }
        assert_eq!(peers.is_local_outage(), local);
        // Later replies, from peers that have stored this incarnation, don't change the result.
        for (node, _) in nodes.iter().zip(kept_power) {
            peers.record_reply(*node, reply(Some(ME), true));
        }
        assert_eq!(peers.is_local_outage(), local);
    }
}
