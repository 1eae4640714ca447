//! Catching up with the placements of earlier lease holders of a key range.
//!
//! A node that is granted a range which others may have held asks every other node of the configuration, after
//! the grant, for the number of the last entry in its log. Whatever the other node placed in the range was placed
//! under an earlier fence whose lease had expired before this grant, so it is at or before that number. Once the
//! replicated history holds every log up to the replied number, it contains every placed key of the range.
//!
//! A node with several logs in the history, or with a forked log, has lost its disk or runs on an older copy of
//! it. Some of its placements may be known to nobody, so its reply proves nothing; it sends none if the copies
//! that its peers keep have already shown it the loss. **Limit:** a disk that was lost before any of its entries
//! were replicated can't be detected, because its node looks new. A node must therefore get a new name when its
//! disk is lost.

use crate::config::SitesConfig;
use crate::key_ownership::Fence;
use crate::Micros;
use serde::{Deserialize, Serialize};
use shorepath_placements::history::History;
use std::collections::BTreeMap;

/// Delay before an unanswered question is sent again, in microseconds.
const RETRY_INTERVAL: Micros = 300_000;
/// Time in which every reachable node replies and replicates its log, in microseconds.
const REPLY_TIMEOUT: Micros = 3_000_000;

/// A message between nodes about the length of their logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Message {
    /// Asks for the end of the receiver's log.
    Ask {
        /// The key range, as `SITE/NODE`.
        home: String,
        /// The first fence under which the sender has held the range without a gap.
        fence: Fence,
    },
    /// Reports the end of the sender's durable log.
    #[serde(rename = "tell")]
    Reply {
        /// The key range of the question.
        home: String,
        /// The fence of the question.
        fence: Fence,
        /// The identifier of the log.
        log: u64,
        /// The number of the log's last entry; 0 for an empty log.
        last: u64,
    },
}

/// Messages, each with the number of the node that receives it.
pub type OutgoingMessages = Vec<(u32, Message)>;

/// Replies of other nodes for one uninterrupted lease of a range.
#[derive(Clone, Debug, Default)]
struct Pending {
    fence: Fence,
    first_asked: Option<Micros>,
    last_asked: Option<Micros>,
    /// By node number: the identifier of its log and the number of the last entry.
    replies: BTreeMap<u32, (u64, u64)>,
}

/// Key ranges held by one node whose earlier placements are not all known yet.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    pending: BTreeMap<String, Pending>,
}

/// Returns whether the history holds a node's log up to the given entry, unforked, and no other log of that node.
/// `reply` is the identifier of the log and the number of its last entry.
pub fn has_complete_log(history: &History, site: &str, node: &str, reply: (u64, u64)) -> bool {
    let mut logs = history.writers().filter(|w| w.site == site && w.node == node);
    match (logs.next(), logs.next()) {
        (None, _) => reply.1 == 0,
        (Some(writer), None) => {
            let heads = history.heads(writer);
            writer.log == reply.0 && heads.len() <= 1 && heads.first().map_or(0, |h| h.0) >= reply.1
        }
        _ => false,
    }
}

impl CatchUp {
    /// Returns the questions to send now, and the home and current fence of each range whose earlier placements are
    /// all known. `unproven` is the result of [`crate::key_ownership::KeyOwnership::unproven`]; `me` and `own` are this
    /// node's number and the end of its own log.
    pub fn tick(
        &mut self,
        config: &SitesConfig,
        (me, own): (u32, (u64, u64)),
        unproven: &[(String, Fence, Fence)],
        history: &History,
        now: Micros,
    ) -> (OutgoingMessages, Vec<(String, Fence)>) {
        self.pending.retain(|home, p| unproven.iter().any(|(h, first, _)| h == home && *first == p.fence));
        let (mut outgoing_messages, mut proved) = (Vec::new(), Vec::new());
        for (home, first, held) in unproven {
            let new_pending = || Pending { fence: *first, ..Pending::default() };
            let pending = self.pending.entry(home.clone()).or_insert_with(new_pending);
            let is_proved = |(site, node): (&crate::config::Site, &crate::config::Node)| {
                let reply = pending.replies.get(&node.number).copied();
                let reply = reply.or_else(|| (node.number == me).then_some(own));
                reply.is_some_and(|reply| has_complete_log(history, &site.name, &node.name, reply))
            };
            if config.nodes().all(is_proved) {
                proved.push((home.clone(), *held));
                continue;
            }
            if pending.last_asked.is_none_or(|at| now - at >= RETRY_INTERVAL) {
                pending.last_asked = Some(now);
                pending.first_asked = pending.first_asked.or(Some(now));
                let unanswered = |n: &u32| *n != me && !pending.replies.contains_key(n);
                let message = Message::Ask { home: home.clone(), fence: *first };
                outgoing_messages.extend(
                    config.nodes().map(|(_, n)| n.number).filter(unanswered).map(|n| (n, message.clone())),
                );
            }
        }
        (outgoing_messages, proved)
    }

    /// Returns whether replies for a range are still expected, so that a client's retry may succeed.
    pub fn awaits_replies(&self, home: &str, now: Micros) -> bool {
        let first_asked = self.pending.get(home).map(|p| p.first_asked);
        first_asked.is_none_or(|at| at.is_none_or(|at| now - at < REPLY_TIMEOUT))
    }

    /// Records the reply of a node; one to an earlier lease of the range is ignored.
    pub fn record_reply(&mut self, from: u32, home: &str, fence: Fence, log: u64, last: u64) {
        if let Some(pending) = self.pending.get_mut(home).filter(|p| p.fence == fence) {
            pending.replies.insert(from, (log, last));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use shorepath_placements::hash_chain::{encode, next_digest, origin, Piece};
    use shorepath_placements::{Entry, Placement, Timed, Writer};

    const FENCE: Fence = Fence { epoch: 7, number: 3 };

    /// Appends the first entry of a log of n1 to a history.
    fn append(history: &mut History, log: u64) {
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

    /// Guards against accepting a reply to an earlier lease, an incomplete log, or a node with two logs.
    #[test]
    fn a_range_is_proved_only_by_replies_to_its_current_lease() {
        let text = "(sites (version 1) (fleet f) (key k) (site a (node n0 \"127.0.0.1:1\") (bears 1))
                     (site b (node n1 \"127.0.0.1:2\") (bears 1)))";
        let config = crate::config::read("t", text).unwrap();
        let (mut history, mut catch_up) = (History::new(), CatchUp::default());
        let [me, other] = [0, 1].map(|k| config.nodes().nth(k).unwrap().1.number);
        let unproven = [("a/n0".to_string(), FENCE, Fence { number: 4, ..FENCE })];
        let tick = |p: &mut CatchUp, h: &History, now| p.tick(&config, (me, (1, 0)), &unproven, h, now);
        let request = Message::Ask { home: "a/n0".into(), fence: FENCE };
        assert_eq!(tick(&mut catch_up, &history, 0), (vec![(other, request.clone())], vec![]));
        assert_eq!(
            tick(&mut catch_up, &history, 1),
            (vec![], vec![]),
            "the request was repeated before the retry interval"
        );
        catch_up.record_reply(other, "a/n0", Fence { number: 2, ..FENCE }, 5, 0);
        assert_eq!(
            tick(&mut catch_up, &history, RETRY_INTERVAL),
            (vec![(other, request)], vec![]),
            "a reply to an earlier lease was accepted"
        );
        catch_up.record_reply(other, "a/n0", FENCE, 5, 1);
        assert_eq!(
            tick(&mut catch_up, &history, 3 * RETRY_INTERVAL),
            (vec![], vec![]),
            "a reply was accepted before the log of its sender had arrived"
        );
        append(&mut history, 5);
        let proved = vec![("a/n0".to_string(), Fence { number: 4, ..FENCE })];
        assert_eq!(tick(&mut catch_up, &history, 3 * RETRY_INTERVAL).1, proved);
        append(&mut history, 6);
        assert_eq!(
            tick(&mut catch_up, &history, 3 * RETRY_INTERVAL).1,
            vec![],
            "a node with two logs was accepted"
        );
    }
}
