//! The start of a log: what peers know of it, and what they are asked before anything is written.

use super::Placements;
use shorepath_placements::anti_entropy::Exchange;
use shorepath_placements::log::LogError;
use shorepath_placements::log_recovery::{LogOutcome, PlacementRef};
use shorepath_placements::{End, Writer};
use shorepath_quota::Micros;
use shorepath_store::Op;
use tracing::{info, warn};

impl Placements {
    /// See what partners say of this node's own log before anything is written to it: where they know more of it than the disk does,
    /// an older disk was put back.
    pub(super) fn ask(&self, writer: &Writer, now: Micros) {
        let mut log_recovery = self.log_recovery.borrow_mut();
        let own = self.log.durable();
        let exchanges = self.exchanges.borrow();
        let Some(outcome) = log_recovery.decide(exchanges.values(), &self.history.borrow(), writer, own, now)
        else {
            return;
        };
        match outcome {
            LogOutcome::Replaced(known) => {
                warn!("placements: others know entry {known} of this log, the disk does not: an older disk was put back; another log is founded");
                if let Err(e) = self.log.start_new_log(self.life) {
                    warn!("placements: {e}");
                }
                self.out.borrow_mut().retain(|_, slot| matches!(slot, PlacementRef::Buffered(_)));
                // Numbers count from 1 again.
                self.shown.set(0);
                self.unwritten.borrow_mut().clear();
                self.refounded.set(true);
            }
            LogOutcome::Continues(true) => {}
            LogOutcome::Continues(false) => {
                info!("placements: no partner was heard, what need not be guarded is recorded")
            }
        }
        let numbers = log_recovery.write_buffered(outcome, |timed| self.later(timed));
        self.out.borrow_mut().retain(|_, slot| {
            if let PlacementRef::Buffered(ticket) = slot {
                let Some(number) = numbers.get(ticket) else { return false };
                *slot = PlacementRef::Written(*number);
            }
            true
        });
        if log_recovery.peers_answered() {
            info!("placements: partners were asked, guarded work is taken");
        }
    }

    /// Whether partners were asked already.
    pub fn peers_answered(&self) -> bool {
        self.log_recovery.borrow().peers_answered()
    }

    /// Whether every partner has said all that it knows.
    pub fn exchanges_complete(&self) -> bool {
        let exchanges = self.exchanges.borrow();
        !exchanges.is_empty() && exchanges.values().all(Exchange::complete)
    }

    /// The store was opened again: go on from what the disk has. What has to be committed before anything else.
    ///
    /// # Errors
    /// What is there can't be used.
    pub fn recover(&self, now: Micros) -> Result<Vec<Op>, LogError> {
        let mut ops = self.log.recover()?;
        // Numbers of entries that never reached the disk are given anew: nothing may be known by them.
        self.keys.take();
        self.log.load_into(&mut self.history.borrow_mut())?;
        self.feed();
        let open = self.log.open_placements();
        let mut out = self.out.borrow_mut();
        out.retain(|_, slot| match slot {
            PlacementRef::Written(number) => open.contains_key(number),
            PlacementRef::Buffered(_) => true,
        });
        let known: Vec<PlacementRef> = out.values().copied().collect();
        drop(out);
        let ends = self.unwritten.take();
        let open = open.into_keys().filter(|of| !known.contains(&PlacementRef::Written(*of)));
        let open = open.map(|of| (of, ends.get(&of).copied().unwrap_or(End::Unknown)));
        ops.extend(self.copies.rewrite_ops(&self.history.borrow()));
        // Whether the disk is an older one is asked again: another log could not be founded.
        self.log_recovery.borrow_mut().restart(now, open);
        self.fresh.set(true);
        self.more.set(Some(now));
        self.shows.set(true);
        Ok(ops)
    }
}
