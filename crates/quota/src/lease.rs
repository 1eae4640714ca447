//! What a node may use now, by the grants that it was given.

use crate::{Grant, LeasePeriod, Micros, NodeIncarnation};
use std::collections::VecDeque;

/// Askings that may be out; an answer to an older one is as good as lost.
const ASKED: usize = 8;

/// One life's side of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    incarnation: NodeIncarnation,
    term: LeasePeriod,
    /// What it may use with or without a grant; the operators' file counts that inside the whole. It belongs to the one
    /// process that has the node's address.
    reserve: u64,
    asked: VecDeque<(u64, Micros)>,
    count: u64,
    held: Option<(Grant, Micros)>,
    /// Grants of that fleet up to that number are not used any more, whatever comes.
    returned: (u32, u64),
}

impl Holder {
    /// One that has only its reserve.
    pub fn new(incarnation: NodeIncarnation, reserve: u64, term: LeasePeriod) -> Holder {
        Holder { incarnation, term, reserve, asked: VecDeque::new(), count: 0, held: None, returned: (0, 0) }
    }

    /// Ask for a grant, now: its time counts from here, so that a grant that was long on the way is short. The number that
    /// the answer has to name.
    pub fn ask(&mut self, now: Micros) -> u64 {
        self.count += 1;
        if self.asked.len() == ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((self.count, now));
        self.count
    }

    /// A grant has come. Whether it is gone by from now on; one that is for another life, older than what is held, given
    /// back, or over already, is not.
    pub fn accept(&mut self, grant: Grant, now: Micros) -> bool {
        let Some(&(_, asked)) = self.asked.iter().find(|(n, _)| *n == grant.answers) else { return false };
        let until = asked.saturating_add(LeasePeriod { length: grant.length, ..self.term }.for_holder());
        // Numbers of another fleet have no order beside these; that one gives nothing before all of the last one's has ended.
        let newer = match self.held {
            Some((held, _)) if held.epoch == grant.epoch => grant.number > held.number,
            Some((_, until)) => now >= until,
            None => grant.epoch != self.returned.0 || grant.number > self.returned.1,
        };
        if grant.holder != self.incarnation || !newer || now >= until {
            return false;
        }
        self.held = Some((grant, until));
        true
    }

    /// Units that may be used now, of a second or at once. A process that stood still, and wakes, asks this before it acts.
    pub fn usable(&self, now: Micros) -> u64 {
        // Where the clock was set back the end has not moved: time since the asking can't be negative.
        let length = |g: &Grant| LeasePeriod { length: g.length, ..self.term }.for_holder();
        let holds = |(g, until): &(Grant, Micros)| now < *until && now >= until - length(g);
        self.held
            .as_ref()
            .filter(|h| holds(h))
            .map_or(self.reserve, |(g, _)| g.amount.saturating_add(self.reserve))
    }

    /// The grant that is gone by, while it holds.
    pub fn grant(&self, now: Micros) -> Option<Grant> {
        self.held.filter(|(_, until)| now < *until).map(|(g, _)| g)
    }

    /// The fleet and the number of the grant that is gone by, or was last; 0 for none. It never goes back to an earlier one.
    pub fn in_force(&self) -> (u32, u64) {
        self.held.map_or(self.returned, |(g, _)| (g.epoch, g.number))
    }

    /// Another reserve holds from now on.
    pub fn set_reserve(&mut self, reserve: u64) {
        self.reserve = reserve;
    }

    /// When it has to have another one.
    pub fn expires_at(&self) -> Option<Micros> {
        self.held.map(|(_, until)| until)
    }

    /// Leave: nothing of any grant is used from now on. The fleet and the number up to which that holds.
    pub fn release(&mut self) -> (u32, u64) {
        if let Some((grant, _)) = self.held.take() {
            self.returned = (grant.epoch, grant.number);
        }
        self.asked.clear();
        self.returned
    }

    /// How much is in use beyond what may be; nothing of it is cut off, and nothing new begins meanwhile.
    pub fn debt(&self, in_use: u64, now: Micros) -> u64 {
        in_use.saturating_sub(self.usable(now))
    }
}
