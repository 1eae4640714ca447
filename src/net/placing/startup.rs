//! Starts the log: asks the peers what they know of it before anything is written.

use super::Placements;
use shorepath_placements::anti_entropy::Exchange;
use shorepath_placements::log::LogError;
use shorepath_placements::log_recovery::{LogOutcome, PlacementRef};
use shorepath_placements::{End, Writer};
use shorepath_quota::Micros;
use shorepath_store::Op;
use tracing::{info, warn};

impl Placements {
    /// Decides, once the peers have answered, whether the log continues. If they know more entries of it than the disk has, the
    /// disk is an older copy and a new log is started.
    pub(super) fn decide_log(&self, writer: &Writer, now: Micros) {
        let mut log_recovery = self.log_recovery.borrow_mut();
        let last_own_entry = self.log.durable();
        let exchanges = self.exchanges.borrow();
        let Some(outcome) =
            log_recovery.decide(exchanges.values(), &self.history.borrow(), writer, last_own_entry, now)
        else {
            return;
        };
        match outcome {
            LogOutcome::Replaced(known) => {
                warn!("placements: peers know entry {known} of this log, which the disk lacks: the disk is an older copy; starting a new log");
                if let Err(e) = self.log.start_new_log(self.new_log_number) {
                    warn!("placements: a new log can't be started: {e}");
                }
                self.outstanding
                    .borrow_mut()
                    .retain(|_, placement| matches!(placement, PlacementRef::Buffered(_)));
                // A new log numbers its entries from 1.
                self.last_published.set(0);
                self.unwritten_ends.borrow_mut().clear();
                self.log_replaced.set(true);
            }
            LogOutcome::Continues(true) => {}
            LogOutcome::Continues(false) => {
                info!("placements: no peer has answered; recording requests that are not guarded")
            }
        }
        let numbers = log_recovery.write_buffered(outcome, |timed| self.append_deferred_entry(timed));
        self.outstanding.borrow_mut().retain(|_, placement| {
            if let PlacementRef::Buffered(ticket) = placement {
                let Some(number) = numbers.get(ticket) else { return false };
                *placement = PlacementRef::Written(*number);
            }
            true
        });
        if log_recovery.peers_answered() {
            info!("placements: peers have answered, guarded work is taken");
        }
    }

    /// Returns whether the peers have answered, as far as the node waits for them.
    pub fn peers_answered(&self) -> bool {
        self.log_recovery.borrow().peers_answered()
    }

    /// Returns whether every peer has sent a full summary of its placement logs; `false` without peers.
    pub fn exchanges_complete(&self) -> bool {
        let exchanges = self.exchanges.borrow();
        !exchanges.is_empty() && exchanges.values().all(Exchange::complete)
    }

    /// Continues from what a reopened store holds. Returns the operations that must be committed before any other.
    ///
    /// # Errors
    /// Fails if the stored log can't be used.
    pub fn recover(&self, now: Micros) -> Result<Vec<Op>, LogError> {
        let mut ops = self.log.recover()?;
        // Entries that never reached the disk lose their numbers to new ones, so the index must not keep them.
        self.keys.take();
        self.log.load_into(&mut self.history.borrow_mut())?;
        self.index_all_logs();
        let open = self.log.open_placements();
        let mut outstanding = self.outstanding.borrow_mut();
        outstanding.retain(|_, placement| match placement {
            PlacementRef::Written(number) => open.contains_key(number),
            PlacementRef::Buffered(_) => true,
        });
        let known: Vec<PlacementRef> = outstanding.values().copied().collect();
        drop(outstanding);
        let ends = self.unwritten_ends.take();
        let open = open.into_keys().filter(|of| !known.contains(&PlacementRef::Written(*of)));
        let open = open.map(|of| (of, ends.get(&of).copied().unwrap_or(End::Unknown)));
        ops.extend(self.copies.rewrite_ops(&self.history.borrow()));
        // The peers are asked again, because a new log could not be started on a failed disk.
        self.log_recovery.borrow_mut().restart(now, open);
        self.has_new_entries.set(true);
        self.reconcile_at.set(Some(now));
        self.must_publish.set(true);
        Ok(ops)
    }
}
