//! What a node may write before it knows whether its log goes on.
//!
//! A disk that was put back looks sound to its node. An entry that is written to it then has a number that another one has elsewhere, and the log
//! forks. So nothing is written to the log of the last life before partners have said what they know of it. What is placed until then is
//! held here, in order, and written once it is known whether the log goes on or another one is founded; what the last life left open gets
//! its end by then, or never, where the log is not gone on with.
//!
//! Where nobody is heard for a stated time the log goes on unproved: a node that is alone has to record what it does. Guarded work goes on waiting.

use crate::anti_entropy::{newest_entry_at_peers, Exchange};
use crate::hash_chain::Point;
use crate::history::History;
use crate::{End, Entry, Micros, Timed, Writer};
use std::collections::BTreeMap;

/// So many placements are held at most, each with its end; some 250 bytes and its names each. Further ones go unrecorded and are counted.
pub const MAX_BUFFERED_PLACEMENTS: usize = 8_192;

/// What becomes of the log that the last life left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutcome {
    /// It goes on; `true` where partners were asked, `false` where none was heard in time.
    Continues(bool),
    /// Others know that entry of it, the disk does not: another log is founded before anything is written.
    Replaced(u64),
}

/// Where a placement is until it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementRef {
    /// It is held, under that ticket.
    Buffered(u64),
    /// It is in the log, under that number.
    Written(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waits,
    /// What is to be written is; partners were not asked yet.
    Unproved,
    Asked,
}

#[derive(Clone, Debug)]
enum Held {
    Placed(Timed),
    Ended(u64, Micros, End),
}

/// The first moments of a node's life.
#[derive(Clone, Debug)]
pub struct LogRecovery {
    began: Micros,
    wait: Micros,
    stage: Stage,
    /// What has no end in the log though it is over, and how it ended.
    open: BTreeMap<u64, End>,
    held: Vec<Held>,
    placed: usize,
    lost: u64,
}

impl LogRecovery {
    /// A life that begins now, with what the log holds without an end. Partners are waited for at least until one has said all that it
    /// knows, and for the others `wait` at most.
    pub fn new(now: Micros, wait: Micros, open: impl IntoIterator<Item = u64>) -> LogRecovery {
        LogRecovery {
            began: now,
            wait,
            stage: Stage::Waits,
            open: open.into_iter().map(|of| (of, End::Unknown)).collect(),
            held: Vec::new(),
            placed: 0,
            lost: 0,
        }
    }

    /// The disk could not be written for a time, and can be now: partners are asked once more, since another log could not be founded meanwhile.
    /// What is held stays; `open` is what has no end in the log though it is over.
    pub fn restart(&mut self, now: Micros, open: impl IntoIterator<Item = (u64, End)>) {
        (self.began, self.stage) = (now, Stage::Waits);
        self.open = open.into_iter().collect();
    }

    /// Nothing may be written yet.
    pub fn is_buffering(&self) -> bool {
        self.stage == Stage::Waits
    }

    /// Partners were asked: guarded work may be taken.
    pub fn peers_answered(&self) -> bool {
        self.stage == Stage::Asked
    }

    /// How many placements went unrecorded since too many were held.
    pub fn unrecorded(&self) -> u64 {
        self.lost
    }

    /// A placement, to be written later; `None` where too many are held.
    pub fn buffer_placement(&mut self, timed: Timed) -> Option<PlacementRef> {
        if self.placed >= MAX_BUFFERED_PLACEMENTS {
            self.lost += 1;
            return None;
        }
        self.placed += 1;
        self.held.push(Held::Placed(timed));
        Some(PlacementRef::Buffered(self.held.len() as u64 - 1))
    }

    /// What is held under that ticket has ended.
    pub fn buffer_end(&mut self, ticket: u64, at: Micros, how: End) {
        self.held.push(Held::Ended(ticket, at, how));
    }

    /// What becomes of the log, whose last entry on the disk is `own`, once that is known; told once, or twice where it went on unproved
    /// first. [`LogRecovery::write`] is to follow.
    pub fn decide<'a>(
        &mut self,
        exchanges: impl Iterator<Item = &'a Exchange> + Clone,
        history: &History,
        writer: &Writer,
        own: Point,
        now: Micros,
    ) -> Option<LogOutcome> {
        let over = now - self.began >= self.wait;
        let some = exchanges.clone().any(Exchange::complete);
        let asked = some && (over || exchanges.clone().all(Exchange::complete));
        self.stage = match self.stage {
            Stage::Waits | Stage::Unproved if asked => Stage::Asked,
            Stage::Waits if over => Stage::Unproved,
            _ => return None,
        };
        let known = newest_entry_at_peers(exchanges, history, writer, own);
        Some(known.map_or(LogOutcome::Continues(asked), LogOutcome::Replaced))
    }

    /// Write what was held, in its order. `write` gives each its number, or none where it can't be recorded. What is held without an end, by ticket, with
    /// its number.
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
        for (ticket, held) in (0..).zip(std::mem::take(&mut self.held)) {
            match held {
                Held::Placed(timed) => numbers.extend(write(timed).map(|number| (ticket, number))),
                Held::Ended(ticket, at, how) => {
                    if let Some(of) = numbers.remove(&ticket) {
                        write(Timed { at, entry: Entry::Ended { of, how } });
                    }
                }
            }
        }
        self.placed = 0;
        numbers
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A disk that failed is written again: what was held meanwhile is written then, after the ends that could not be, and once each.
    #[test]
    fn what_could_not_be_written_is_written_once_partners_were_asked_again() {
        let (history, writer, own) = (
            History::new(),
            Writer { site: "west".into(), node: "n0".into(), log: 1 },
            (9, crate::hash_chain::Digest::default()),
        );
        let mut log_recovery = LogRecovery::new(0, 3, [4]);
        let none: [&Exchange; 0] = [];
        let ask = |b: &mut LogRecovery, now| b.decide(none.into_iter(), &history, &writer, own, now);
        assert_eq!(ask(&mut log_recovery, 3), Some(LogOutcome::Continues(false)));
        let mut written = Vec::new();
        let mut write = |b: &mut LogRecovery| {
            let mut number = 10;
            b.write_buffered(LogOutcome::Continues(false), |timed| {
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
        let held = log_recovery.buffer_placement(Timed { at: 11, entry: Entry::Placed(placement.clone()) });
        assert_eq!(held, Some(PlacementRef::Buffered(0)));
        assert_eq!(
            (ask(&mut log_recovery, 12), ask(&mut log_recovery, 13)),
            (None, Some(LogOutcome::Continues(false)))
        );
        assert_eq!(write(&mut log_recovery), BTreeMap::from([(0, 13)]));
        assert!(write(&mut log_recovery).is_empty());
        let ended = |of, how| Entry::Ended { of, how };
        let all = [
            ended(4, End::Unknown),
            ended(5, End::NeverRan),
            ended(6, End::Unknown),
            Entry::Placed(placement),
        ];
        assert_eq!(written, all);
    }
}
