//! The operator's file of budgets, S-expressions, checked whole: each complaint names its line and column.
//!
//! ```text
//! (budgets
//!   (nodes 300) (term 5 s) (drift-ppm 500)
//!   (budget quota:fyn (per second) (whole 47000) (floor 10) (reserve 2) (burst 200 ms))
//!   (budget flight:actuator-cmd (per moment) (whole 4000) (longest 5 s)))
//! ```

use crate::divide::FloorsError;
use crate::{Micros, Term};
use shorepath_sexp::{Complaints, Form};
use std::collections::BTreeSet;

const DAY: Micros = 86_400_000_000;

/// What a budget's units are counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Per {
    /// So many a second; unused ones are kept for so long, in microseconds.
    Second {
        /// For how long.
        burst: Micros,
    },
    /// So many in use at once, each for so long at most, in microseconds.
    Moment {
        /// For how long.
        longest: Micros,
    },
}

/// One budget as the operator wants it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Its name.
    pub name: String,
    /// What its units are counted by.
    pub per: Per,
    /// Units, over all nodes.
    pub whole: u64,
    /// Units that each node has at least while it has a grant.
    pub floor: u64,
    /// Units that each node may use without a grant; counted inside the whole.
    pub reserve: u64,
}

/// All budgets of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Nodes of the fleet, at most.
    pub nodes: u32,
    /// The length of a grant, in microseconds.
    pub term: Micros,
    /// What a clock gains or loses at most, in millionths.
    pub drift_ppm: u32,
    /// The budgets.
    pub budgets: Vec<Budget>,
}

impl Plan {
    /// For how long grants of a budget hold.
    pub fn term_of(&self, budget: &Budget) -> Term {
        let longest = if let Per::Moment { longest } = budget.per { longest } else { 0 };
        Term { length: self.term, drift_ppm: self.drift_ppm, longest }
    }

    /// What floors and reserves of all nodes leave of a budget to be divided by demand.
    ///
    /// # Errors
    /// Where they exceed the whole.
    pub fn left(&self, budget: &Budget) -> Result<u64, FloorsError> {
        let fixed = u64::from(self.nodes).saturating_mul(budget.floor.saturating_add(budget.reserve));
        budget.whole.checked_sub(fixed).ok_or(FloorsError { floors: fixed, whole: budget.whole })
    }
}

/// Read the operator's file.
///
/// # Errors
/// All faults of the text, with their places.
pub fn read(file: &str, text: &str) -> Result<Plan, Complaints> {
    shorepath_sexp::read(file, text, "budgets", plan)
}

fn plan(f: &Form) -> Plan {
    const UNITS: std::ops::RangeInclusive<u64> = 0..=1_000_000_000_000;
    let mut plan = Plan {
        nodes: f.count("nodes", 1, 1..=100_000) as u32,
        term: f.time("term", 5_000_000, 100_000..=DAY),
        drift_ppm: f.count("drift-ppm", 500, 0..=100_000) as u32,
        budgets: Vec::new(),
    };
    let mut names = BTreeSet::new();
    for form in f.many("budget") {
        let name = form.word("a budget's name");
        let moment = form.choice("per", "second", &["second", "moment"]) == "moment";
        let budget = Budget {
            per: match moment {
                true => Per::Moment { longest: form.time("longest", 0, 0..=DAY) },
                false => Per::Second { burst: form.time("burst", 100_000, 0..=DAY) },
            },
            whole: form.count("whole", 0, UNITS),
            floor: form.count("floor", 0, UNITS),
            reserve: form.count("reserve", 0, UNITS),
            name,
        };
        form.finish();
        if !names.insert(budget.name.clone()) {
            form.complain(format!("the budget {} is given twice", budget.name));
        }
        if budget.whole == 0 {
            form.complain(format!("the budget {} needs a (whole UNITS) over 0", budget.name));
        } else if let Err(e) = plan.left(&budget) {
            let text = format!("{}: floors and reserves of {} nodes: {e}", budget.name, plan.nodes);
            form.complain(text);
        }
        if moment && budget.per == (Per::Moment { longest: 0 }) {
            form.complain(format!(
                "{} needs (longest TIME): what was begun runs on after a grant",
                budget.name
            ));
        }
        plan.budgets.push(budget);
    }
    if plan.budgets.is_empty() {
        f.complain("a file of budgets needs a (budget NAME ...)");
    }
    plan
}
