//! Tracks whether the standing of accounts is confirmed, that is, whether this node can have missed an accounts file.

use crate::Micros;

/// Time in microseconds for which enough other sites must be reachable without a gap before standing counts as confirmed.
/// Gossip takes less than a second to deliver a change to every node, so any change made before the gap ended has arrived by then.
pub const CONFIRMATION_DELAY: Micros = 2_000_000;

/// Whether standing is confirmed, judged by whether enough other sites are reachable. All times are monotonic, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    unconfirmed_since: Option<Micros>,
    linked_since: Option<Micros>,
}

impl Confirmation {
    /// Creates the state of a node that starts, with unconfirmed standing.
    pub fn new(now: Micros) -> Confirmation {
        Confirmation { unconfirmed_since: Some(now), linked_since: None }
    }

    /// Updates the state and returns `Some(true)` if standing became unconfirmed, `Some(false)` if it became confirmed.
    ///
    /// `received` is the last time at which messages from enough other sites had been received, or `None` if that was too long ago.
    /// Links count as up from the first to the last such time, not until `now`: a message doesn't show that the link is still up.
    pub fn update(&mut self, received: Option<Micros>, now: Micros) -> Option<bool> {
        let Some(received) = received else {
            self.linked_since = None;
            let changed = self.unconfirmed_since.is_none();
            self.unconfirmed_since.get_or_insert(now);
            return changed.then_some(true);
        };
        let linked_since = *self.linked_since.get_or_insert(received);
        let confirmed =
            self.unconfirmed_since.is_some() && received.saturating_sub(linked_since) >= CONFIRMATION_DELAY;
        if confirmed {
            self.unconfirmed_since = None;
        }
        confirmed.then_some(false)
    }

    /// Returns the time since which standing can't be confirmed; `None` while it is confirmed.
    pub fn unconfirmed_since(&self) -> Option<Micros> {
        self.unconfirmed_since
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn confirms_standing_after_links_were_up_without_a_gap() {
        let mut confirmation = Confirmation::new(10);
        assert_eq!((confirmation.update(Some(15), 20), confirmation.unconfirmed_since()), (None, Some(10)));
        assert_eq!(confirmation.update(None, CONFIRMATION_DELAY), None, "a gap restarts the delay");
        let linked_at = CONFIRMATION_DELAY + 50;
        assert_eq!(confirmation.update(Some(linked_at), linked_at), None);
        assert_eq!(
            confirmation.update(Some(linked_at + CONFIRMATION_DELAY - 1), linked_at + 2 * CONFIRMATION_DELAY),
            None
        );
        assert_eq!(
            (
                confirmation.update(Some(linked_at + CONFIRMATION_DELAY), linked_at + CONFIRMATION_DELAY),
                confirmation.unconfirmed_since()
            ),
            (Some(false), None)
        );
        assert_eq!(
            (confirmation.update(None, 3 * CONFIRMATION_DELAY), confirmation.unconfirmed_since()),
            (Some(true), Some(3 * CONFIRMATION_DELAY))
        );
        assert_eq!(confirmation.update(None, 4 * CONFIRMATION_DELAY), None);
    }

    /// Guards against confirming standing, and restoring all credit, because messages from one short contact have become old enough.
    #[test]
    fn a_short_contact_never_confirms_standing() {
        let mut confirmation = Confirmation::new(0);
        for now in (1_000..3 * CONFIRMATION_DELAY).step_by(1_000) {
            assert_eq!(confirmation.update(Some(now.min(CONFIRMATION_DELAY - 1_000)), now), None);
        }
        assert_eq!(confirmation.unconfirmed_since(), Some(0));
    }
}
