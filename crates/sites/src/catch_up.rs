//! Proving that all that others placed in a range is known here.
//!
//! A node that holds a range which others may have held before asks every other node of the file, after the grant, how far its log goes. What
//! that one placed in the range it placed under an earlier fence, whose lease had ended before this grant was given; so all of it is at or
//! before the number that it names. Once the history holds every log that far, it tells of every key of the range that was placed.
//!
//! A node of which the history knows several logs, or one with two lines, has lost a disk or was given an older one: what it had placed and
//! not told nobody can name. It proves nothing, and says nothing where it knows so itself by what its partners kept of it. **What nobody can see** is a disk that was lost before anything on it was told: its
//! node looks new. So a node whose disk is lost comes back under another name.

use crate::config::SitesConfig;
use crate::key_ownership::Fence;
use crate::Micros;
use serde::{Deserialize, Serialize};
use shorepath_placements::history::History;
use std::collections::BTreeMap;

/// A question that has no answer is asked again after this.
const AGAIN: Micros = 300_000;
/// Whoever is there has answered by then, and told its history.
const ANSWERS: Micros = 3_000_000;

/// One word between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Message {
    /// How far does your log go?
    Ask {
        /// The range.
        home: String,
        /// The first fence of this holding of it.
        fence: Fence,
    },
    /// So far, on the disk.
    #[serde(rename = "tell")]
    Reply {
        /// As it was asked.
        home: String,
        /// As it was asked.
        fence: Fence,
        /// Which log it is.
        log: u64,
        /// The number of its last entry.
        last: u64,
    },
}

/// Words, and to which nodes.
pub type OutgoingMessages = Vec<(u32, Message)>;

/// What others answered of one holding of a range.
#[derive(Clone, Debug, Default)]
struct Pending {
    fence: Fence,
    /// When it was asked for first and last.
    begun: Option<Micros>,
    asked: Option<Micros>,
    notified: BTreeMap<u32, (u64, u64)>,
}

/// All ranges of one node that are to be proved.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    pending: BTreeMap<String, Pending>,
}

/// Whether the history holds a node's log that far, and no other log of it. A log is its number and its last entry's.
pub fn has_complete_log(history: &History, site: &str, node: &str, notified: (u64, u64)) -> bool {
    let mut logs = history.writers().filter(|w| w.site == site && w.node == node);
    match (logs.next(), logs.next()) {
        (None, _) => notified.1 == 0,
        (Some(writer), None) => {
            let heads = history.heads(writer);
            writer.log == notified.0 && heads.len() <= 1 && heads.first().map_or(0, |h| h.0) >= notified.1
        }
        _ => false,
    }
}

impl CatchUp {
    /// Time has passed: what is to be asked of whom, and which ranges are proved now. `unproven` is what
    /// [`crate::key_ownership::KeyOwnership::unproven`] gives; of this node its number and its log.
    pub fn tick(
        &mut self,
        plan: &SitesConfig,
        (me, own): (u32, (u64, u64)),
        unproven: &[(String, Fence, Fence)],
        history: &History,
        now: Micros,
    ) -> (OutgoingMessages, Vec<(String, Fence)>) {
        self.pending.retain(|home, p| unproven.iter().any(|(h, first, _)| h == home && *first == p.fence));
        let (mut outgoing_messages, mut proved) = (Vec::new(), Vec::new());
        for (home, first, held) in unproven {
            let new = || Pending { fence: *first, ..Pending::default() };
            let pending = self.pending.entry(home.clone()).or_insert_with(new);
            let clear = |(site, node): (&crate::config::Site, &crate::config::Node)| {
                let notified = pending.notified.get(&node.number).copied();
                let notified = notified.or_else(|| (node.number == me).then_some(own));
                notified.is_some_and(|notified| has_complete_log(history, &site.name, &node.name, notified))
            };
            if plan.nodes().all(clear) {
                proved.push((home.clone(), *held));
                continue;
            }
            if pending.asked.is_none_or(|at| now - at >= AGAIN) {
                pending.asked = Some(now);
                pending.begun = pending.begun.or(Some(now));
                let silent = |n: &u32| *n != me && !pending.notified.contains_key(n);
                let message = Message::Ask { home: home.clone(), fence: *first };
                outgoing_messages
                    .extend(plan.nodes().map(|(_, n)| n.number).filter(silent).map(|n| (n, message.clone())));
            }
        }
        (outgoing_messages, proved)
    }

    /// Whether a range may be proved soon: asking for it again helps then.
    pub fn awaits_replies(&self, home: &str, now: Micros) -> bool {
        let begun = self.pending.get(home).map(|p| p.begun);
        begun.is_none_or(|at| at.is_none_or(|at| now - at < ANSWERS))
    }

    /// A node has answered.
    pub fn record_reply(&mut self, from: u32, home: &str, fence: Fence, log: u64, last: u64) {
        if let Some(pending) = self.pending.get_mut(home).filter(|p| p.fence == fence) {
            pending.notified.insert(from, (log, last));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use shorepath_placements::hash_chain::{encode, next_digest, origin, Piece};
    use shorepath_placements::{Entry, Placement, Timed, Writer};

    const FENCE: Fence = Fence { epoch: 7, number: 3 };

    /// Take one entry of a log of n1 into a history.
    fn take(history: &mut History, log: u64) {
        let writer = Writer { site: "b".into(), node: "n1".into(), log };
        let placed = Placement {
            key: Some("k".into()),
            class: "c".into(),
            guarded: true,
            tenant: None,
            server: "s".into(),
            standing: 0,
            taken: 1,
            on_credit: false,
            list: 0,
            fence: 1,
        };
        let entry = encode(&Timed { at: 1, entry: Entry::Placed(placed) }).unwrap();
        let (after, before) = origin(&writer);
        let head = next_digest(&before, &entry);
        assert_eq!(history.insert(&Piece { writer, after, before, entries: vec![entry], head }), Ok(1));
    }

    /// Proved only by an answer to this holding, once the log is here that far, and with no other log of that node.
    #[test]
    fn a_range_is_proved_by_what_was_told_after_its_grant() {
        let text = "(sites (version 1) (fleet f) (key k) (site a (node n0 \"127.0.0.1:1\") (bears 1))
                     (site b (node n1 \"127.0.0.1:2\") (bears 1)))";
        let plan = crate::config::read("t", text).unwrap();
        let (mut history, mut proving) = (History::new(), CatchUp::default());
        let [me, other] = [0, 1].map(|k| plan.nodes().nth(k).unwrap().1.number);
        let unproven = [("a/n0".to_string(), FENCE, Fence { number: 4, ..FENCE })];
        let pass = |p: &mut CatchUp, h: &History, now| p.tick(&plan, (me, (1, 0)), &unproven, h, now);
        let ask = Message::Ask { home: "a/n0".into(), fence: FENCE };
        assert_eq!(pass(&mut proving, &history, 0), (vec![(other, ask.clone())], vec![]));
        assert_eq!(pass(&mut proving, &history, 1), (vec![], vec![]), "asked again at once");
        proving.record_reply(other, "a/n0", Fence { number: 2, ..FENCE }, 5, 0);
        assert_eq!(
            pass(&mut proving, &history, AGAIN),
            (vec![(other, ask)], vec![]),
            "told of another holding"
        );
        proving.record_reply(other, "a/n0", FENCE, 5, 1);
        assert_eq!(pass(&mut proving, &history, 3 * AGAIN), (vec![], vec![]), "its log is not here yet");
        take(&mut history, 5);
        let proved = vec![("a/n0".to_string(), Fence { number: 4, ..FENCE })];
        assert_eq!(pass(&mut proving, &history, 3 * AGAIN).1, proved);
        take(&mut history, 6);
        assert_eq!(pass(&mut proving, &history, 3 * AGAIN).1, vec![], "it has lost a disk");
    }
}
