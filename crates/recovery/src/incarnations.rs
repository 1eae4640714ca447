//! What nodes remember of each other's lives: by that a node knows whether its disk is the last one that it wrote, and whether it lost
//! power alone.
//!
//! A node asks each partner what it remembers. Once its own disk is judged it *claims* its life: partners write that down before they
//! say so. It acts only when each of them has its disk whole and remembers this very life; so a disk of an earlier life is always known.

use crate::disk_trust::DiskState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A process that began with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DiskIncarnation {
    /// The disk's number, drawn when it was made.
    pub disk: u64,
    /// How often a process has begun with it, this one counted.
    pub boots: u64,
    /// The process's own number, drawn when it began.
    #[serde(rename = "life")]
    pub process: u64,
}

/// A word between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Message {
    /// What do you remember of me? `claims` is whether this life is to be remembered from now on.
    Ask {
        /// Who asks.
        me: DiskIncarnation,
        /// Remember it.
        claims: bool,
    },
    /// What is remembered.
    #[serde(rename = "tell")]
    Reply(Reply),
}

/// What a node says to one that has asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The life that has asked: what was said to an earlier one means nothing.
    pub to: u64,
    /// The last life of the one that asked that is remembered, on the disk.
    pub known: Option<DiskIncarnation>,
    /// That life is another one than the one that asks, and was heard just now.
    #[serde(rename = "lives")]
    pub other_alive: bool,
    /// All that must not run twice and was placed by the one that says it is on its disk, or an operator has excused what is not.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// It has had power since an earlier life of the one that asks was heard, or serves and never heard of it.
    #[serde(rename = "outlived")]
    pub kept_power: bool,
}

/// Where a peer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerState {
    /// It has said nothing to this life.
    Silent,
    /// Something that must not run twice may be missing on its disk.
    Incomplete,
    /// It does not yet remember this life.
    Unclaimed,
    /// It counts.
    Counts,
}

/// What the partners have said to this life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    me: DiskIncarnation,
    /// The disk has never been this node's whole one.
    is_new: bool,
    replies: BTreeMap<u32, Option<Reply>>,
}

impl Peers {
    /// Of that life. `is_new` is whether its disk has never been whole: it was made just now, or was never excused.
    pub fn new(me: DiskIncarnation, is_new: bool) -> Peers {
        Peers { me, is_new, replies: BTreeMap::new() }
    }

    /// These are the partners from now on.
    pub fn set_peers(&mut self, peers: &[u32]) {
        self.replies.retain(|node, _| peers.contains(node));
        for node in peers {
            self.replies.entry(*node).or_insert(None);
        }
    }

    /// A node has said that. What is not meant for this life, or is said by no partner, changes nothing.
    pub fn record_reply(&mut self, from: u32, reply: Reply) {
        if reply.to != self.me.process {
            return;
        }
        if let Some(replies) = self.replies.get_mut(&from) {
            // Once it remembers this life it says nothing of those before.
            let outlived = reply.kept_power || replies.as_ref().is_some_and(|t| t.kept_power);
            *replies = Some(Reply { kept_power: outlived, ..reply });
        }
    }

    /// What is to be said of the own disk; `None` while partners that have said nothing might know better.
    pub fn classify_disk(&self) -> Option<DiskState> {
        let strange = |l: &DiskIncarnation| l.process != self.me.process;
        for (known, lives) in
            self.replies.values().flatten().filter_map(|t| Some((t.known.filter(strange)?, t.other_alive)))
        {
            let own = known.disk == self.me.disk;
            match (own, self.is_new) {
                // It had another disk, which is gone.
                (false, true) => return Some(DiskState::Lost),
                (false, false) => return Some(DiskState::Old),
                (true, _) if known.boots >= self.me.boots && lives => return Some(DiskState::Copied),
                (true, _) if known.boots >= self.me.boots => return Some(DiskState::Old),
                // It was whole once, and was found not to be since.
                (true, true) => return Some(DiskState::Old),
                _ => {}
            }
        }
        if self.replies.is_empty() || self.replies.values().any(Option::is_none) {
            return None;
        }
        // Nobody remembers it. Where one at least has something to remember by, it never was.
        match self.is_new && !self.replies.values().flatten().any(|t| t.complete) {
            true => Some(DiskState::Lost),
            false => Some(DiskState::Own),
        }
    }

    /// Whether each partner's disk is whole and remembers this life.
    pub fn all_confirmed(&self) -> bool {
        !self.replies.is_empty() && self.states().all(|(_, state)| state == PeerState::Counts)
    }

    /// Where each partner stands.
    pub fn states(&self) -> impl Iterator<Item = (u32, PeerState)> + '_ {
        self.replies.iter().map(|(node, replies)| {
            let state = match replies {
                None => PeerState::Silent,
                Some(t) if !t.complete => PeerState::Incomplete,
                Some(t) if t.known != Some(self.me) => PeerState::Unclaimed,
                Some(_) => PeerState::Counts,
            };
            (*node, state)
        })
    }

    /// Whether half of those that have said something had power all the while: then this node's loss is its own.
    pub fn is_local_outage(&self) -> bool {
        let (mut all, mut lived) = (0, 0);
        for replies in self.replies.values().flatten() {
            all += 1;
            lived += usize::from(replies.kept_power);
        }
        lived > 0 && 2 * lived >= all
    }

    /// Whether all have said something.
    pub fn all_replied(&self) -> bool {
        !self.replies.is_empty() && self.replies.values().all(Option::is_some)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const ME: DiskIncarnation = DiskIncarnation { disk: 7, boots: 4, process: 40 };

    fn report(known: Option<DiskIncarnation>, whole: bool) -> Reply {
        Reply { to: ME.process, known, other_alive: false, complete: whole, kept_power: false }
    }

    #[rstest]
    #[case::nobody_knows_it(None, false, Some(DiskState::Own))]
    #[case::the_life_before(Some(DiskIncarnation { boots: 3, process: 30, ..ME }), false, Some(DiskState::Own))]
    #[case::itself(Some(ME), false, Some(DiskState::Own))]
    #[case::a_disk_of_last_week(Some(DiskIncarnation { boots: 9, process: 90, ..ME }), false, Some(DiskState::Old))]
    #[case::the_same_snapshot_again(Some(DiskIncarnation { process: 41, ..ME }), false, Some(DiskState::Old))]
    #[case::another_disk_was_its_last(Some(DiskIncarnation { disk: 8, boots: 1, process: 10 }), false, Some(DiskState::Old))]
    #[case::its_disk_is_gone(Some(DiskIncarnation { disk: 8, boots: 1, process: 10 }), true, Some(DiskState::Lost))]
    #[case::found_old_by_the_life_before(Some(DiskIncarnation { boots: 3, process: 30, ..ME }), true, Some(DiskState::Old))]
    #[case::a_new_node_of_a_fleet(None, true, Some(DiskState::Own))]
    fn a_disk_is_judged_by_what_is_remembered(
        #[case] known: Option<DiskIncarnation>,
        #[case] is_new: bool,
        #[case] judged: Option<DiskState>,
    ) {
        let mut peers = Peers::new(ME, is_new);
        peers.set_peers(&[1, 2]);
        peers.record_reply(1, report(known, true));
        // What is wrong is known by one; that nothing is, only by all.
        let wrong = judged.filter(|d| *d != DiskState::Own);
        assert_eq!(peers.classify_disk(), wrong);
        peers.record_reply(2, report(None, true));
        assert_eq!(peers.classify_disk(), judged);
    }

    #[test]
    fn a_life_that_goes_on_elsewhere_is_a_copy() {
        let mut peers = Peers::new(ME, false);
        peers.set_peers(&[1]);
        let known = Some(DiskIncarnation { process: 41, ..ME });
        peers.record_reply(1, Reply { other_alive: true, ..report(known, true) });
        assert_eq!(peers.classify_disk(), Some(DiskState::Copied));
    }

    /// A fleet that begins and one that lost all its disks look alike: only an operator can tell.
    #[test]
    fn where_nobody_remembers_anything_nothing_is_believed_until_somebody_is_whole() {
        let mut peers = Peers::new(ME, true);
        peers.set_peers(&[1, 2]);
        [1, 2].into_iter().for_each(|n| peers.record_reply(n, report(None, false)));
        assert_eq!(peers.classify_disk(), Some(DiskState::Lost));
        peers.record_reply(2, report(None, true));
        assert_eq!(peers.classify_disk(), Some(DiskState::Own));
    }

    #[test]
    fn partners_count_that_are_whole_and_remember_this_life() {
        let mut peers = Peers::new(ME, false);
        assert!(!peers.all_confirmed() && !peers.all_replied());
        peers.set_peers(&[1, 2]);
        peers.record_reply(1, report(Some(ME), true));
        peers.record_reply(2, Reply { to: 41, ..report(Some(ME), true) });
        peers.record_reply(3, report(Some(ME), true));
        assert!(!peers.all_confirmed());
        peers.record_reply(2, report(Some(ME), false));
        assert_eq!(peers.states().collect::<Vec<_>>(), [(1, PeerState::Counts), (2, PeerState::Incomplete)]);
        peers.record_reply(2, report(Some(DiskIncarnation { boots: 3, ..ME }), true));
        assert_eq!(peers.states().last(), Some((2, PeerState::Unclaimed)));
        peers.record_reply(2, report(Some(ME), true));
        assert!(peers.all_confirmed());
        peers.set_peers(&[1]);
        assert!(peers.all_confirmed());
    }

    /// One that kept power while all others lost it does not make it the loss of one.
    #[rstest]
    #[case::all_lost_power(&[false, false], false)]
    #[case::all_but_one(&[true, false, false], false)]
    #[case::half(&[true, false], true)]
    #[case::this_one_alone(&[true, true, true], true)]
    #[case::nobody_says_anything(&[], false)]
    fn the_loss_of_one_is_told_from_the_loss_of_all(#[case] outlived: &[bool], #[case] lived: bool) {
        let mut peers = Peers::new(ME, false);
        let nodes: Vec<u32> = (0..5).collect();
        peers.set_peers(&nodes);
        for (node, outlived) in nodes.iter().zip(outlived) {
            peers.record_reply(*node, Reply { kept_power: *outlived, ..report(None, true) });
        }
        assert_eq!(peers.is_local_outage(), lived);
        // Those remember it by then: what they said of its earlier life stays.
        for (node, _) in nodes.iter().zip(outlived) {
            peers.record_reply(*node, report(Some(ME), true));
        }
        assert_eq!(peers.is_local_outage(), lived);
    }
}
