//! Since when standing can't be confirmed.

use crate::Micros;

/// Standing counts as confirmed after links have stood for so long without a gap: what changed meanwhile has come by then, since
/// a change is everywhere within a second at any size (`docs/sites.md`).
pub const CONFIRMATION_DELAY: Micros = 2_000_000;

/// Whether standing is confirmed, by whether the node hears enough of the others. Times are on the steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    unconfirmed_since: Option<Micros>,
    linked_since: Option<Micros>,
}

impl Confirmation {
    /// Of a node that starts: nothing is confirmed yet.
    pub fn new(now: Micros) -> Confirmation {
        Confirmation { unconfirmed_since: Some(now), linked_since: None }
    }

    /// Time has passed. `heard` is the last moment at which enough of the others had been heard; none where that is too long ago.
    /// Links count as standing from the first such moment to the last, not on to `now`: what was heard for an instant says nothing of the
    /// time after it. Whether standing can't be confirmed from now on, where that changed.
    pub fn update(&mut self, received: Option<Micros>, now: Micros) -> Option<bool> {
        let Some(received) = received else {
            self.linked_since = None;
            let changed = self.unconfirmed_since.is_none();
            self.unconfirmed_since.get_or_insert(now);
            return changed.then_some(true);
        };
        let since = *self.linked_since.get_or_insert(received);
        let settled =
            self.unconfirmed_since.is_some() && received.saturating_sub(since) >= CONFIRMATION_DELAY;
        if settled {
            self.unconfirmed_since = None;
        }
        settled.then_some(false)
    }

    /// Since when standing can't be confirmed; none where it can.
    pub fn unconfirmed_since(&self) -> Option<Micros> {
        self.unconfirmed_since
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn standing_is_confirmed_once_links_have_stood_and_not_before() {
        let mut c = Confirmation::new(10);
        assert_eq!((c.update(Some(15), 20), c.unconfirmed_since()), (None, Some(10)));
        assert_eq!(c.update(None, CONFIRMATION_DELAY), None, "a gap begins it anew");
        let begin = CONFIRMATION_DELAY + 50;
        assert_eq!(c.update(Some(begin), begin), None);
        assert_eq!(c.update(Some(begin + CONFIRMATION_DELAY - 1), begin + 2 * CONFIRMATION_DELAY), None);
        assert_eq!(
            (c.update(Some(begin + CONFIRMATION_DELAY), begin + CONFIRMATION_DELAY), c.unconfirmed_since()),
            (Some(false), None)
        );
        assert_eq!(
            (c.update(None, 3 * CONFIRMATION_DELAY), c.unconfirmed_since()),
            (Some(true), Some(3 * CONFIRMATION_DELAY))
        );
        assert_eq!(c.update(None, 4 * CONFIRMATION_DELAY), None);
    }

    /// Guards the credit: words that came for a moment confirmed standing once they were old enough, and gave all of it back.
    #[test]
    fn what_was_heard_for_a_moment_confirms_nothing_however_long_it_counts() {
        let mut c = Confirmation::new(0);
        for now in (1_000..3 * CONFIRMATION_DELAY).step_by(1_000) {
            assert_eq!(c.update(Some(now.min(CONFIRMATION_DELAY - 1_000)), now), None);
        }
        assert_eq!(c.unconfirmed_since(), Some(0));
    }
}
