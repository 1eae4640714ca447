//! What nodes remember of each other's lives: by that a node knows whether its disk is the last one that it wrote, and whether it lost
//! power alone.
//!
//! A node asks each partner what it remembers. Once its own disk is judged it *claims* its life: partners write that down before they
//! say so. It acts only when each of them has its disk whole and remembers this very life; so a disk of an earlier life is always known.

use crate::disk_trust::Disk;
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
    pub life: u64,
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
    pub lives: bool,
    /// All that must not run twice and was placed by the one that says it is on its disk, or an operator has excused what is not.
    pub whole: bool,
    /// It has had power since an earlier life of the one that asks was heard, or serves and never heard of it.
    pub outlived: bool,
}

/// Where a peer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// It has said nothing to this life.
    Silent,
    /// Something that must not run twice may be missing on its disk.
    NotWhole,
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
    pub fn meet(&mut self, peers: &[u32]) {
        self.replies.retain(|node, _| peers.contains(node));
        for node in peers {
            self.replies.entry(*node).or_insert(None);
        }
    }

    /// A node has said that. What is not meant for this life, or is said by no partner, changes nothing.
    pub fn received(&mut self, from: u32, reply: Reply) {
        if reply.to != self.me.life {
            return;
        }
        if let Some(replies) = self.replies.get_mut(&from) {
            // Once it remembers this life it says nothing of those before.
            let outlived = reply.outlived || replies.as_ref().is_some_and(|t| t.outlived);
            *replies = Some(Reply { outlived, ..reply });
        }
    }

    /// What is to be said of the own disk; `None` while partners that have said nothing might know better.
    pub fn judge(&self) -> Option<Disk> {
        let strange = |l: &DiskIncarnation| l.life != self.me.life;
        for (known, lives) in
            self.replies.values().flatten().filter_map(|t| Some((t.known.filter(strange)?, t.lives)))
        {
            let own = known.disk == self.me.disk;
            match (own, self.is_new) {
                // It had another disk, which is gone.
                (false, true) => return Some(Disk::Lost),
                (false, false) => return Some(Disk::Old),
                (true, _) if known.boots >= self.me.boots && lives => return Some(Disk::Copied),
                (true, _) if known.boots >= self.me.boots => return Some(Disk::Old),
                // It was whole once, and was found not to be since.
                (true, true) => return Some(Disk::Old),
                _ => {}
            }
        }
        if self.replies.is_empty() || self.replies.values().any(Option::is_none) {
            return None;
        }
        // Nobody remembers it. Where one at least has something to remember by, it never was.
        match self.is_new && !self.replies.values().flatten().any(|t| t.whole) {
            true => Some(Disk::Lost),
            false => Some(Disk::Own),
        }
    }

    /// Whether each partner's disk is whole and remembers this life.
    pub fn count(&self) -> bool {
        !self.replies.is_empty() && self.states().all(|(_, state)| state == Peer::Counts)
    }

    /// Where each partner stands.
    pub fn states(&self) -> impl Iterator<Item = (u32, Peer)> + '_ {
        self.replies.iter().map(|(node, replies)| {
            let state = match replies {
                None => Peer::Silent,
                Some(t) if !t.whole => Peer::NotWhole,
                Some(t) if t.known != Some(self.me) => Peer::Unclaimed,
                Some(_) => Peer::Counts,
            };
            (*node, state)
        })
    }

    /// Whether half of those that have said something had power all the while: then this node's loss is its own.
    pub fn lived(&self) -> bool {
        let (mut all, mut lived) = (0, 0);
        for replies in self.replies.values().flatten() {
            all += 1;
            lived += usize::from(replies.outlived);
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

    const ME: DiskIncarnation = DiskIncarnation { disk: 7, boots: 4, life: 40 };

    fn report(known: Option<DiskIncarnation>, whole: bool) -> Reply {
        Reply { to: ME.life, known, lives: false, whole, outlived: false }
    }

    #[rstest]
    #[case::nobody_knows_it(None, false, Some(Disk::Own))]
    #[case::the_life_before(Some(DiskIncarnation { boots: 3, life: 30, ..ME }), false, Some(Disk::Own))]
    #[case::itself(Some(ME), false, Some(Disk::Own))]
    #[case::a_disk_of_last_week(Some(DiskIncarnation { boots: 9, life: 90, ..ME }), false, Some(Disk::Old))]
    #[case::the_same_snapshot_again(Some(DiskIncarnation { life: 41, ..ME }), false, Some(Disk::Old))]
    #[case::another_disk_was_its_last(Some(DiskIncarnation { disk: 8, boots: 1, life: 10 }), false, Some(Disk::Old))]
    #[case::its_disk_is_gone(Some(DiskIncarnation { disk: 8, boots: 1, life: 10 }), true, Some(Disk::Lost))]
    #[case::found_old_by_the_life_before(Some(DiskIncarnation { boots: 3, life: 30, ..ME }), true, Some(Disk::Old))]
    #[case::a_new_node_of_a_fleet(None, true, Some(Disk::Own))]
    fn a_disk_is_judged_by_what_is_remembered(
        #[case] known: Option<DiskIncarnation>,
        #[case] is_new: bool,
        #[case] judged: Option<Disk>,
    ) {
        let mut peers = Peers::new(ME, is_new);
        peers.meet(&[1, 2]);
        peers.received(1, report(known, true));
        // What is wrong is known by one; that nothing is, only by all.
        let wrong = judged.filter(|d| *d != Disk::Own);
        assert_eq!(peers.judge(), wrong);
        peers.received(2, report(None, true));
        assert_eq!(peers.judge(), judged);
    }

    #[test]
    fn a_life_that_goes_on_elsewhere_is_a_copy() {
        let mut peers = Peers::new(ME, false);
        peers.meet(&[1]);
        let known = Some(DiskIncarnation { life: 41, ..ME });
        peers.received(1, Reply { lives: true, ..report(known, true) });
        assert_eq!(peers.judge(), Some(Disk::Copied));
    }

    /// A fleet that begins and one that lost all its disks look alike: only an operator can tell.
    #[test]
    fn where_nobody_remembers_anything_nothing_is_believed_until_somebody_is_whole() {
        let mut peers = Peers::new(ME, true);
        peers.meet(&[1, 2]);
        [1, 2].into_iter().for_each(|n| peers.received(n, report(None, false)));
        assert_eq!(peers.judge(), Some(Disk::Lost));
        peers.received(2, report(None, true));
        assert_eq!(peers.judge(), Some(Disk::Own));
    }

    #[test]
    fn partners_count_that_are_whole_and_remember_this_life() {
        let mut peers = Peers::new(ME, false);
        assert!(!peers.count() && !peers.all_replied());
        peers.meet(&[1, 2]);
        peers.received(1, report(Some(ME), true));
        peers.received(2, Reply { to: 41, ..report(Some(ME), true) });
        peers.received(3, report(Some(ME), true));
        assert!(!peers.count());
        peers.received(2, report(Some(ME), false));
        assert_eq!(peers.states().collect::<Vec<_>>(), [(1, Peer::Counts), (2, Peer::NotWhole)]);
        peers.received(2, report(Some(DiskIncarnation { boots: 3, ..ME }), true));
        assert_eq!(peers.states().last(), Some((2, Peer::Unclaimed)));
        peers.received(2, report(Some(ME), true));
        assert!(peers.count());
        peers.meet(&[1]);
        assert!(peers.count());
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
        peers.meet(&nodes);
        for (node, outlived) in nodes.iter().zip(outlived) {
            peers.received(*node, Reply { outlived: *outlived, ..report(None, true) });
        }
        assert_eq!(peers.lived(), lived);
        // Those remember it by then: what they said of its earlier life stays.
        for (node, _) in nodes.iter().zip(outlived) {
            peers.received(*node, report(Some(ME), true));
        }
        assert_eq!(peers.lived(), lived);
    }
}
