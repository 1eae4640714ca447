//! Decides after a start whether a node may go on writing its log, and buffers entries until then.
//!
//! A disk that was restored from an older copy looks intact to its node. If the node appended to it, the new
//! entry would have the number of another entry that peers already hold, and the log would fork. Nothing is
//! therefore written to the log of the previous run before peers have reported what they hold of it.
//! Placements are buffered in order until the log is either continued or replaced by a new one. Placements
//! that the previous run left open get their end then if the log is continued, and otherwise never.
//!
//! If no peer answers within the timeout the log is continued unconfirmed, because an isolated node has to
//! record what it does; guarded jobs keep waiting.

use crate::anti_entropy::{newest_entry_at_peers, Exchange};
use crate::hash_chain::Point;
use crate::history::History;
use crate::{End, Entry, Micros, Timed, Writer};
use std::collections::BTreeMap;

/// Maximum number of buffered placements, each with its end. Each takes about 250 bytes plus its names.
/// Further placements are not recorded but counted ([`LogRecovery::unrecorded`]).
pub const MAX_BUFFERED_PLACEMENTS: usize = 8_192;

/// What becomes of the log that the previous run left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutcome {
    /// The log is continued; `true` if peers were asked, `false` if none answered in time.
    Continues(bool),
    /// Peers know the log up to the entry with that number, beyond what the disk holds: a new log is started
    /// before anything is written.
    Replaced(u64),
}

/// Where a placement is recorded until it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementRef {
    /// In the buffer, under that ticket.
    Buffered(u64),
    /// In the log, under that entry number.
    Written(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    /// The log is continued, but no peer has answered yet.
    Unconfirmed,
    Confirmed,
}

#[derive(Clone, Debug)]
enum Buffered {
    Placed(Timed),
    Ended(u64, Micros, End),
}

/// State of the recovery of a node's log.
#[derive(Clone, Debug)]
pub struct LogRecovery {
    started_at: Micros,
    wait: Micros,
    stage: Stage,
    /// Placements whose end is not in the log although they are over, and how they ended.
    open: BTreeMap<u64, End>,
    buffered: Vec<Buffered>,
    placement_count: usize,
    unrecorded: u64,
}

impl LogRecovery {
    /// Starts the recovery with the placements that have no end in the log. It waits until at least one peer
    /// has sent its full summary, and up to `wait` microseconds for the others.
    pub fn new(now: Micros, wait: Micros, open: impl IntoIterator<Item = u64>) -> LogRecovery {
        LogRecovery {
            started_at: now,
            wait,
            stage: Stage::Waiting,
            open: open.into_iter().map(|of| (of, End::Unknown)).collect(),
            buffered: Vec::new(),
            placement_count: 0,
            unrecorded: 0,
        }
    }

    /// Starts over after the disk was unwritable for a time: peers are asked again, because no new log could
    /// be started meanwhile. The buffer stays; `open` lists placements that are over but have no end in the
    /// log.
    pub fn restart(&mut self, now: Micros, open: impl IntoIterator<Item = (u64, End)>) {
        (self.started_at, self.stage) = (now, Stage::Waiting);
        self.open = open.into_iter().collect();
    }

    /// Returns whether entries must be buffered because nothing may be written yet.
    pub fn is_buffering(&self) -> bool {
        self.stage == Stage::Waiting
    }

    /// Returns whether peers have answered, so that guarded jobs may be accepted.
    pub fn peers_answered(&self) -> bool {
        self.stage == Stage::Confirmed
    }

    /// Returns how many placements were not recorded because the buffer was full.
    pub fn unrecorded(&self) -> u64 {
        self.unrecorded
    }

    /// Buffers a placement; `None` if the buffer is full.
    pub fn buffer_placement(&mut self, timed: Timed) -> Option<PlacementRef> {
        if self.placement_count >= MAX_BUFFERED_PLACEMENTS {
            self.unrecorded += 1;
            return None;
        }
        self.placement_count += 1;
        self.buffered.push(Buffered::Placed(timed));
        Some(PlacementRef::Buffered(self.buffered.len() as u64 - 1))
    }

    /// Buffers the end of the placement with that ticket.
    pub fn buffer_end(&mut self, ticket: u64, at: Micros, how: End) {
        self.buffered.push(Buffered::Ended(ticket, at, how));
    }

    /// Returns what becomes of the log, whose last entry on the disk is `own`, as soon as that is known. It
    /// is returned once, or a second time if peers answer after the log was continued unconfirmed. The caller
    /// then calls [`LogRecovery::write_buffered`].
    pub fn decide<'a>(
        &mut self,
        exchanges: impl Iterator<Item = &'a Exchange> + Clone,
        history: &History,
        writer: &Writer,
        own: Point,
        now: Micros,
    ) -> Option<LogOutcome> {
        let timed_out = now - self.started_at >= self.wait;
        let any_complete = exchanges.clone().any(Exchange::complete);
        let answered = any_complete && (timed_out || exchanges.clone().all(Exchange::complete));
        self.stage = match self.stage {
            Stage::Waiting | Stage::Unconfirmed if answered => Stage::Confirmed,
            Stage::Waiting if timed_out => Stage::Unconfirmed,
            _ => return None,
        };
        let newest_at_peers = newest_entry_at_peers(exchanges, history, writer, own);
        Some(newest_at_peers.map_or(LogOutcome::Continues(answered), LogOutcome::Replaced))
    }

    /// Writes the buffered entries in order. `write` returns the number of each entry, or `None` if it can't
    /// be recorded. Returns the entry numbers of placements that have not ended, by ticket.
    pub fn write_buffered(
        &mut self,
        outcome: LogOutcome,
        mut write: impl FnMut(Timed) -> Option<u64>,
    ) -> BTreeMap<u64, u64> {
        let open = std::mem::take(&mut self.open);
        if matches!(outcome, LogOutcome::Continues(_)) {
            for (of, how) in open {
                write(Timed { at: 0, entry: Entry::Ended { of, how } });
            }
        }
        let mut numbers = BTreeMap::new();
        for (ticket, buffered) in (0..).zip(std::mem::take(&mut self.buffered)) {
            match buffered {
                Buffered::Placed(timed) => numbers.extend(write(timed).map(|number| (ticket, number))),
                Buffered::Ended(ticket, at, how) => {
                    if let Some(of) = numbers.remove(&ticket) {
                        write(Timed { at, entry: Entry::Ended { of, how } });
                    }
                }
            }
        }
        self.placement_count = 0;
        numbers
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against losing or repeating buffered entries when a failed disk becomes writable again.
    #[test]
    fn buffered_entries_are_written_once_after_a_restart() {
        let (history, writer, own) = (
            History::new(),
            Writer { site: "west".into(), node: "n0".into(), log: 1 },
            (9, crate::hash_chain::Digest::default()),
        );
        let mut log_recovery = LogRecovery::new(0, 3, [4]);
        let none: [&Exchange; 0] = [];
        let decide =
            |recovery: &mut LogRecovery, now| recovery.decide(none.into_iter(), &history, &writer, own, now);
        assert_eq!(decide(&mut log_recovery, 3), Some(LogOutcome::Continues(false)));
        let mut written = Vec::new();
        let mut write = |recovery: &mut LogRecovery| {
            let mut number = 10;
            recovery.write_buffered(LogOutcome::Continues(false), |timed| {
                written.push(timed.entry);
                number += 1;
                Some(number)
            })
        };
        write(&mut log_recovery);
        log_recovery.restart(10, [(5, End::NeverRan), (6, End::Unknown)]);
        assert!(log_recovery.is_buffering() && !log_recovery.peers_answered());
        let placement = crate::Placement {
            key: None,
            class: "c".into(),
            guarded: false,
            tenant: None,
            server: "s".into(),
            standing: 0,
            taken: 0,
            on_credit: false,
            list: 0,
            fence: 0,
        };
        let buffered =
            log_recovery.buffer_placement(Timed { at: 11, entry: Entry::Placed(placement.clone()) });
        assert_eq!(buffered, Some(PlacementRef::Buffered(0)));
        assert_eq!(
            (decide(&mut log_recovery, 12), decide(&mut log_recovery, 13)),
            (None, Some(LogOutcome::Continues(false)))
        );
        assert_eq!(write(&mut log_recovery), BTreeMap::from([(0, 13)]));
        assert!(write(&mut log_recovery).is_empty());
        let ended = |of, how| Entry::Ended { of, how };
        let expected = [
            ended(4, End::Unknown),
            ended(5, End::NeverRan),
            ended(6, End::Unknown),
            Entry::Placed(placement),
        ];
        assert_eq!(written, expected);
    }
}
