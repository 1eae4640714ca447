//! The configuration file of budgets, in S-expressions. All errors of a file are reported together, with line and column.
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

const DAY_MICROS: Micros = 86_400_000_000;

/// The most allocators of a fleet; more of them only make commits slower.
const MAX_ALLOCATORS: usize = 9;

/// What a budget limits, which follows from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetKind<'a> {
    /// `quota:TENANT`: first attempts of the tenant's requests.
    Quota(&'a str),
    /// `flight:CLASS`: concurrent attempts of the class.
    Flight(&'a str),
    /// `home:SITE/NODE`: placement of the keys of the range that belongs to this node. It has one unit, held by one node.
    Home(&'a str),
    /// `retries`: attempts after the first one of a request.
    Retries,
    /// `probes`: probes of backend servers.
    Probes,
    /// `lists`: calls to the discovery service.
    Lists,
    /// `cold`: the load of each backend server in slow start, from all nodes together.
    Cold,
    /// `connections`: concurrent attempts at each backend server.
    Connections,
}

impl BudgetKind<'_> {
    /// Returns the kind of the budget with this name; `None` for a name of no known form.
    pub fn of(name: &str) -> Option<BudgetKind<'_>> {
        Some(match name.split_once(':') {
            Some(("quota", tenant)) if !tenant.is_empty() => BudgetKind::Quota(tenant),
            Some(("flight", class)) if !class.is_empty() => BudgetKind::Flight(class),
            Some(("home", home)) if is_key_range(home) => BudgetKind::Home(home),
            None if name == "retries" => BudgetKind::Retries,
            None if name == "probes" => BudgetKind::Probes,
            None if name == "lists" => BudgetKind::Lists,
            None if name == "cold" => BudgetKind::Cold,
            None if name == "connections" => BudgetKind::Connections,
            _ => return None,
        })
    }

    /// Returns whether the budget limits concurrent use, and not use per second.
    fn is_concurrent(self) -> bool {
        matches!(self, BudgetKind::Flight(_) | BudgetKind::Connections | BudgetKind::Home(_))
    }
}

/// Returns whether the name has the form `SITE/NODE`.
fn is_key_range(name: &str) -> bool {
    name.split_once('/')
        .is_some_and(|(site, node)| !site.is_empty() && !node.is_empty() && !node.contains('/'))
}

/// The name and the address of an allocator or a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessAddress {
    /// The name, which stays the same across restarts.
    pub name: String,
    /// The address for datagrams; an allocator also accepts TCP connections there.
    pub address: SocketAddr,
}

/// The way in which the units of a budget are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Per {
    /// Units used per second.
    Second {
        /// How long unused units accumulate, in microseconds.
        burst: Micros,
    },
    /// Units in use at once.
    Moment {
        /// The longest time that a unit stays in use, in microseconds.
        longest: Micros,
    },
}

/// The configuration of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// The name, which determines the [`BudgetKind`].
    pub name: String,
    /// How the units are counted.
    pub per: Per,
    /// The units of all nodes together.
    #[serde(rename = "whole")]
    pub total: u64,
    /// The smallest grant of a node, in units.
    pub floor: u64,
    /// Units that each node may use without a grant; part of the total.
    pub reserve: u64,
}

/// The configuration of all budgets of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The version of the file; a new file needs a greater one.
    pub version: u64,
    /// The allocators; empty where only the shares are to be computed.
    #[serde(rename = "dividers")]
    pub allocators: Vec<ProcessAddress>,
    /// The nodes listed by name and address; further nodes may take part, up to `nodes` in all.
    pub members: Vec<ProcessAddress>,
    /// The greatest number of nodes of the fleet.
    pub nodes: u32,
    /// The term of a grant, in microseconds.
    pub term: Micros,
    /// The greatest drift of any clock from real time, in millionths.
    pub drift_ppm: u32,
    /// The budgets in the order of the file.
    pub budgets: Vec<Budget>,
    /// The name of the fleet, which datagrams are authenticated with. Not part of the replicated configuration.
    #[serde(skip)]
    pub fleet: String,
    /// The path of the keys that authenticate datagrams; `None` for no authentication. Not part of the replicated
    /// configuration.
    #[serde(skip)]
    pub key: Option<PathBuf>,
}

impl Plan {
    /// Returns how long grants of a budget are valid.
    pub fn lease_period(&self, budget: &Budget) -> LeasePeriod {
        let longest = if let Per::Moment { longest } = budget.per { longest } else { 0 };
        LeasePeriod { length: self.term, drift_ppm: self.drift_ppm, longest }
    }

    /// Returns the name of the listed allocator or node with this id.
    pub fn name_of(&self, node: NodeId) -> Option<&str> {
        let all = self.members.iter().chain(&self.allocators);
        all.map(|p| p.name.as_str()).find(|name| NodeId::of(name) == node)
    }

    /// Returns the id of the allocator or node that is listed with this address.
    pub fn node_at(&self, address: SocketAddr) -> Option<NodeId> {
        let mut all = self.members.iter().chain(&self.allocators);
        all.find(|p| p.address == address).map(|p| NodeId::of(&p.name))
    }

    /// Returns the ids of all listed allocators and nodes but this one.
    pub fn others(&self, node: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        let all = self.allocators.iter().chain(&self.members);
        all.map(|process| NodeId::of(&process.name)).filter(move |other| *other != node)
    }

    /// Returns the units of a budget that are shared by demand: the total without the floors and reserves of all nodes.
    ///
    /// # Errors
    /// The floors and reserves exceed the total.
    pub fn shared_units(&self, budget: &Budget) -> Result<u64, FloorsError> {
        let fixed = u64::from(self.nodes).saturating_mul(budget.floor.saturating_add(budget.reserve));
        budget.total.checked_sub(fixed).ok_or(FloorsError { floors: fixed, total: budget.total })
    }
}

/// Parses the text of the configuration file at the path `file`. A relative path of the keys is relative to that file.
///
/// # Errors
/// All errors of the text, with their lines and columns.
pub fn read(file: &str, text: &str) -> Result<Plan, ParseErrors> {
    shorepath_sexp::read(file, text, "budgets", |f| plan(f, Path::new(file)))
}

fn process_address(form: &Form) -> ProcessAddress {
    let (name, text) = (form.symbol("a name"), form.symbol("an address with a port, in quotes"));
    form.finish();
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = text.parse().unwrap_or_else(|_| {
        form.add_error(format!("\"{text}\" is not an address with a port; write it as \"10.0.0.1:7800\""));
        unspecified
    });
    ProcessAddress { name, address }
}

/// Parses all forms of one kind. Names, node ids and addresses must be unique among all forms in `listed`.
fn process_addresses(f: &Form, kind: &'static str, listed: &mut Vec<ProcessAddress>) -> Vec<ProcessAddress> {
    let mut all = Vec::new();
    for form in f.many(kind) {
        let process_address = process_address(&form);
        for other in listed.iter() {
            if other.name == process_address.name {
                form.add_error(format!("the name {} is given twice", process_address.name));
            } else if NodeId::of(&other.name) == NodeId::of(&process_address.name) {
                let text = format!(
                    "{} and {} have the same node id; rename one of them",
                    other.name, process_address.name
                );
                form.add_error(text);
            } else if other.address == process_address.address {
                form.add_error(format!("{} has the same address as {}", process_address.name, other.name));
            }
        }
        listed.push(process_address.clone());
        all.push(process_address);
    }
    all
}

/// Parses the optional form `(name "text")`, whose text must not be empty.
fn text(f: &Form, name: &'static str) -> Option<String> {
    f.given(name, |form| {
        let text = form.symbol("a text, in quotes");
        if text.is_empty() {
            form.add_error(format!("({name}) needs a text in quotes"));
        }
        Some(text)
    })
}

fn plan(f: &Form, file: &Path) -> Plan {
    const UNIT_RANGE: std::ops::RangeInclusive<u64> = 0..=1_000_000_000_000;
    let mut listed = Vec::new();
    let allocators = process_addresses(f, "divider", &mut listed);
    let members = process_addresses(f, "node", &mut listed);
    if allocators.len() > MAX_ALLOCATORS {
        f.add_error(format!(
            "{} (divider ...) are listed; at most {MAX_ALLOCATORS} are supported",
            allocators.len()
        ));
    }
    if allocators.is_empty() != members.is_empty() {
        f.add_error("(divider ...) and (node ...) need each other: list both or neither");
    }
    let mut plan = Plan {
        version: f.count("version", 1, 1..=1_000_000_000),
        nodes: f.count("nodes", members.len().max(1) as u64, 1..=100_000) as u32,
        allocators,
        members,
        term: f.time("term", 5_000_000, 100_000..=DAY_MICROS),
        drift_ppm: f.count("drift-ppm", 500, 0..=100_000) as u32,
        budgets: Vec::new(),
        fleet: text(f, "fleet").unwrap_or_default(),
        key: text(f, "key").map(|key| file.with_file_name(key)),
    };
    if (plan.nodes as usize) < plan.members.len() {
        f.add_error(format!(
            "(nodes {}) is less than the number of listed nodes; raise it or leave it out",
            plan.nodes
        ));
    }
    let mut names = BTreeSet::new();
    for form in f.many("budget") {
        let name = form.symbol("a budget's name");
        let is_concurrent = form.choice("per", "second", &["second", "moment"]) == "moment";
        let budget = Budget {
            per: match is_concurrent {
                true => Per::Moment { longest: form.time("longest", 0, 0..=DAY_MICROS) },
                false => Per::Second { burst: form.time("burst", 100_000, 0..=DAY_MICROS) },
            },
            total: form.count("whole", 0, UNIT_RANGE),
            floor: form.count("floor", 0, UNIT_RANGE),
            reserve: form.count("reserve", 0, UNIT_RANGE),
            name,
        };
        form.finish();
        match BudgetKind::of(&budget.name) {
            None => form.add_error(format!(
                "{} is not the name of a budget; known: quota:TENANT, flight:CLASS, home:SITE/NODE, retries, probes, lists, cold, connections",
                budget.name
            )),
            Some(kind) if kind.is_concurrent() != is_concurrent => {
                let per = if is_concurrent { "second" } else { "moment" };
                form.add_error(format!("the budget {} needs (per {per})", budget.name));
            }
            Some(_) => {}
        }
        if !names.insert(budget.name.clone()) {
            form.add_error(format!("the budget {} is given twice", budget.name));
        }
        if budget.total == 0 {
            form.add_error(format!("the budget {} needs a (whole UNITS) greater than 0", budget.name));
        } else if let Err(e) = plan.shared_units(&budget) {
            let text = format!(
                "{}: floors and reserves of {} nodes: {e}; raise (whole) or lower (floor) or (reserve)",
                budget.name, plan.nodes
            );
            form.add_error(text);
        }
        let is_single_unit = (budget.total, budget.floor, budget.reserve) == (1, 0, 0);
        if matches!(BudgetKind::of(&budget.name), Some(BudgetKind::Home(_))) && !is_single_unit {
            form.add_error(format!(
                "only one node may hold {}: set (whole 1) and leave out (floor) and (reserve)",
                budget.name
            ));
        }
        if is_concurrent && budget.per == (Per::Moment { longest: 0 }) {
            form.add_error(format!(
                "{} needs (longest TIME), the longest time that a unit stays in use",
                budget.name
            ));
        }
        plan.budgets.push(budget);
    }
    if plan.budgets.is_empty() {
        f.add_error("a file of budgets needs a (budget NAME ...)");
    }
    plan
}
