//! The operator's file of budgets, S-expressions, checked whole: each complaint names its line and column.
//!
//! ```text
//! (budgets
//!   (version 7) (term 5 s) (drift-ppm 500) (fleet tidal) (key "fleet.key")
//!   (divider d0 "10.0.0.1:7800") (divider d1 "10.0.0.2:7800") (divider d2 "10.0.0.3:7800")
//!   (node n0 "10.0.1.1:7900") (node n1 "10.0.1.2:7900")
//!   (budget quota:fyn (per second) (whole 47000) (floor 10) (reserve 2) (burst 200 ms))
//!   (budget flight:actuator-cmd (per moment) (whole 4000) (longest 5 s)))
//! ```

use crate::allocation::FloorsError;
use crate::{LeasePeriod, Micros, NodeId};
use serde::{Deserialize, Serialize};
use shorepath_sexp::{Form, ParseErrors};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const DAY: Micros = 86_400_000_000;

/// Dividers at most; more only make agreement slower.
const ALLOCATORS: usize = 9;

/// What a budget bounds, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetKind<'a> {
    /// `quota:TENANT`: requests of that tenant that are sent on, their first attempts.
    Quota(&'a str),
    /// `flight:CLASS`: attempts of that class that are out.
    Flight(&'a str),
    /// `home:SITE/NODE`: who may place the keys of that range; one unit, which one node holds.
    Home(&'a str),
    /// `retries`: attempts beyond the first.
    Retries,
    /// `probes`: probes of backend servers.
    Probes,
    /// `lists`: calls to discovery.
    Lists,
    /// `cold`: of what each backend server that has just started bears from all nodes, in the units of the whole.
    Cold,
    /// `connections`: attempts out at each backend server.
    Connections,
}

impl BudgetKind<'_> {
    /// What a budget of that name bounds, if it bounds anything.
    pub fn of(name: &str) -> Option<BudgetKind<'_>> {
        Some(match name.split_once(':') {
            Some(("quota", tenant)) if !tenant.is_empty() => BudgetKind::Quota(tenant),
            Some(("flight", class)) if !class.is_empty() => BudgetKind::Flight(class),
            Some(("home", home)) if is_home(home) => BudgetKind::Home(home),
            None if name == "retries" => BudgetKind::Retries,
            None if name == "probes" => BudgetKind::Probes,
            None if name == "lists" => BudgetKind::Lists,
            None if name == "cold" => BudgetKind::Cold,
            None if name == "connections" => BudgetKind::Connections,
            _ => return None,
        })
    }

    /// Whether its units are in use for as long as something lasts, and not used up.
    fn by_moment(self) -> bool {
        matches!(self, BudgetKind::Flight(_) | BudgetKind::Connections | BudgetKind::Home(_))
    }
}

/// `SITE/NODE`, both said.
fn is_home(name: &str) -> bool {
    name.split_once('/')
        .is_some_and(|(site, node)| !site.is_empty() && !node.is_empty() && !node.contains('/'))
}

/// One process of the fleet, and where datagrams reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessAddress {
    /// Its name, the same in all its lives.
    pub name: String,
    /// Its address; a divider takes connections there, too.
    pub address: SocketAddr,
}

/// What a budget's units are counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Its name.
    pub name: String,
    /// What its units are counted by.
    pub per: Per,
    /// Units, over all nodes.
    #[serde(rename = "whole")]
    pub total: u64,
    /// Units that each node has at least while it has a grant.
    pub floor: u64,
    /// Units that each node may use without a grant; counted inside the whole.
    pub reserve: u64,
}

/// All budgets of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Which file this is; grows with each that is put into service.
    pub version: u64,
    /// Those that divide; empty where only the division is looked at.
    #[serde(rename = "dividers")]
    pub allocators: Vec<ProcessAddress>,
    /// The nodes, where they are listed.
    pub members: Vec<ProcessAddress>,
    /// Nodes of the fleet, at most.
    pub nodes: u32,
    /// The length of a grant, in microseconds.
    pub term: Micros,
    /// What a clock gains or loses at most, in millionths.
    pub drift_ppm: u32,
    /// The budgets.
    pub budgets: Vec<Budget>,
    /// The fleet's name, which is under the code of its words. Like the key it is each process's own matter: nothing is agreed on.
    #[serde(skip)]
    pub fleet: String,
    /// The file of the keys under which words of nodes and dividers go; none where they carry no code.
    #[serde(skip)]
    pub key: Option<PathBuf>,
}

impl Plan {
    /// For how long grants of a budget hold.
    pub fn lease_period(&self, budget: &Budget) -> LeasePeriod {
        let longest = if let Per::Moment { longest } = budget.per { longest } else { 0 };
        LeasePeriod { length: self.term, drift_ppm: self.drift_ppm, longest }
    }

    /// The name that a number stands for.
    pub fn name_of(&self, node: NodeId) -> Option<&str> {
        let all = self.members.iter().chain(&self.allocators);
        all.map(|p| p.name.as_str()).find(|name| NodeId::of(name) == node)
    }

    /// Who is listed at an address.
    pub fn node_at(&self, address: SocketAddr) -> Option<NodeId> {
        let mut all = self.members.iter().chain(&self.allocators);
        all.find(|p| p.address == address).map(|p| NodeId::of(&p.name))
    }

    /// What floors and reserves of all nodes leave of a budget to be divided by demand.
    ///
    /// # Errors
    /// Where they exceed the whole.
    pub fn shared_units(&self, budget: &Budget) -> Result<u64, FloorsError> {
        let fixed = u64::from(self.nodes).saturating_mul(budget.floor.saturating_add(budget.reserve));
        budget.total.checked_sub(fixed).ok_or(FloorsError { floors: fixed, total: budget.total })
    }
}

/// Read the operator's file; a key's path is taken from where that file lies.
///
/// # Errors
/// All faults of the text, with their places.
pub fn read(file: &str, text: &str) -> Result<Plan, ParseErrors> {
    shorepath_sexp::read(file, text, "budgets", |f| plan(f, Path::new(file)))
}

fn place(form: &Form) -> ProcessAddress {
    let (name, text) = (form.word("a name"), form.word("an address with a port, in quotes"));
    form.finish();
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = text.parse().unwrap_or_else(|_| {
        form.complain(format!("\"{text}\" is no address with a port"));
        nowhere
    });
    ProcessAddress { name, address }
}

/// All lists of one kind; no two have one name, one number or one address, over all kinds.
fn places(f: &Form, kind: &'static str, taken: &mut Vec<ProcessAddress>) -> Vec<ProcessAddress> {
    let mut all = Vec::new();
    for form in f.many(kind) {
        let place = place(&form);
        for other in taken.iter() {
            if other.name == place.name {
                form.complain(format!("the name {} is given twice", place.name));
            } else if NodeId::of(&other.name) == NodeId::of(&place.name) {
                let text = format!("{} and {} have one number; name one otherwise", other.name, place.name);
                form.complain(text);
            } else if other.address == place.address {
                form.complain(format!("{} has the address of {}", place.name, other.name));
            }
        }
        taken.push(place.clone());
        all.push(place);
    }
    all
}

/// The list in it with that name, which holds a text that is not empty.
fn text(f: &Form, name: &'static str) -> Option<String> {
    f.given(name, |form| {
        let text = form.word("a text, in quotes");
        if text.is_empty() {
            form.complain(format!("({name}) needs a text in quotes"));
        }
        Some(text)
    })
}

fn plan(f: &Form, file: &Path) -> Plan {
    const UNITS: std::ops::RangeInclusive<u64> = 0..=1_000_000_000_000;
    let mut taken = Vec::new();
    let allocators = places(f, "divider", &mut taken);
    let members = places(f, "node", &mut taken);
    if allocators.len() > ALLOCATORS {
        f.complain(format!("{} dividers; {ALLOCATORS} at most", allocators.len()));
    }
    if allocators.is_empty() != members.is_empty() {
        f.complain("(divider ...) and (node ...) come together: who divides, and among whom");
    }
    let mut plan = Plan {
        version: f.count("version", 1, 1..=1_000_000_000),
        nodes: f.count("nodes", members.len().max(1) as u64, 1..=100_000) as u32,
        allocators,
        members,
        term: f.time("term", 5_000_000, 100_000..=DAY),
        drift_ppm: f.count("drift-ppm", 500, 0..=100_000) as u32,
        budgets: Vec::new(),
        fleet: text(f, "fleet").unwrap_or_default(),
        key: text(f, "key").map(|key| file.with_file_name(key)),
    };
    if (plan.nodes as usize) < plan.members.len() {
        f.complain(format!("(nodes {}) is less than the nodes listed", plan.nodes));
    }
    let mut names = BTreeSet::new();
    for form in f.many("budget") {
        let name = form.word("a budget's name");
        let moment = form.choice("per", "second", &["second", "moment"]) == "moment";
        let budget = Budget {
            per: match moment {
                true => Per::Moment { longest: form.time("longest", 0, 0..=DAY) },
                false => Per::Second { burst: form.time("burst", 100_000, 0..=DAY) },
            },
            total: form.count("whole", 0, UNITS),
            floor: form.count("floor", 0, UNITS),
            reserve: form.count("reserve", 0, UNITS),
            name,
        };
        form.finish();
        match BudgetKind::of(&budget.name) {
            None => form.complain(format!(
                "{} bounds nothing; known: quota:TENANT, flight:CLASS, home:SITE/NODE, retries, probes, lists, cold, connections",
                budget.name
            )),
            Some(bounds) if bounds.by_moment() != moment => {
                let per = if moment { "second" } else { "moment" };
                form.complain(format!("{} is counted (per {per})", budget.name));
            }
            Some(_) => {}
        }
        if !names.insert(budget.name.clone()) {
            form.complain(format!("the budget {} is given twice", budget.name));
        }
        if budget.total == 0 {
            form.complain(format!("the budget {} needs a (whole UNITS) over 0", budget.name));
        } else if let Err(e) = plan.shared_units(&budget) {
            let text = format!("{}: floors and reserves of {} nodes: {e}", budget.name, plan.nodes);
            form.complain(text);
        }
        let one = (budget.total, budget.floor, budget.reserve) == (1, 0, 0);
        if matches!(BudgetKind::of(&budget.name), Some(BudgetKind::Home(_))) && !one {
            form.complain(format!("{} is held by one node: (whole 1), and no reserve or floor", budget.name));
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
