//! Key ownership with failure detection and a quota server: who holds a key's range while a site is lost and returns.

use crate::fleet::{Fleet, S};
use shorepath_quota::allocator::Allocator;
use shorepath_quota::client::{QuotaClient, Usage};
use shorepath_quota::{config, NodeId, NodeIncarnation};
use shorepath_sites::key_ownership::{budget_name, AbsentMembers, KeyOwnership, PersistedOwnership, Proof};
use shorepath_sites::Micros;

struct Leases {
    fleet: Fleet,
    clients: Vec<QuotaClient>,
    ownership: Vec<KeyOwnership>,
    allocator: Allocator,
    budgets_config: config::Plan,
    /// Sites that can't exchange messages with the quota server.
    partitioned: Vec<bool>,
    key: String,
}

/// Length of a step, in microseconds.
const STEP: Micros = 50_000;

impl Leases {
    fn new() -> Leases {
        let fleet = Fleet::new(&[1; 3], 31);
        let mut text = String::from("(budgets (term 5 s) (divider d \"127.0.0.1:1\")");
        for (site, node) in fleet.config.nodes() {
            text += &format!("(node {} \"{}\")", node.name, node.address);
            text += &format!(
                "(budget {} (per moment) (whole 1) (longest 1 s))",
                budget_name(&site.name, &node.name)
            );
        }
        let budgets_config = config::read("b", &(text + ")")).unwrap();
        let mut allocator = Allocator::new("d", budgets_config.clone(), 7);
        allocator.set_leader(true);
        let numbers: Vec<u32> = fleet.config.nodes().map(|(_, n)| n.number).collect();
        let ownership: Vec<KeyOwnership> = numbers
            .iter()
            .map(|n| KeyOwnership::new(*n, &fleet.config, &PersistedOwnership::default()))
            .collect();
        let key = (0..).map(|k| format!("k{k}")).find(|k| ownership[0].home(k) == "s1/s1n0").unwrap();
        let mut all = Leases {
            fleet,
            clients: Vec::new(),
            ownership,
            allocator,
            budgets_config,
            partitioned: vec![false; 3],
            key,
        };
        all.clients = numbers.iter().map(|n| all.quota_client(*n, 1)).collect();
        all
    }

    fn quota_client(&self, node: u32, incarnation: u64) -> QuotaClient {
        QuotaClient::new(
            NodeIncarnation { node: NodeId(node), incarnation },
            self.budgets_config.clone(),
            0,
            self.fleet.now,
        )
    }

    /// Returns the node that may place the key now, if the history allows it.
    fn holder(&self) -> Option<usize> {
        let may =
            |k: &usize| self.ownership[*k].may_place(&self.key, self.fleet.now, |_| Proof::Clean).is_ok();
        let all: Vec<usize> = (0..3).filter(may).collect();
        assert!(all.len() < 2, "{all:?} at {}", self.fleet.now);
        all.first().copied()
    }

    fn step(&mut self) {
        let now = self.fleet.now + STEP;
        self.fleet.run(now);
        for k in (0..3).filter(|k| !self.fleet.dead[*k]).collect::<Vec<_>>() {
            let states =
                self.fleet.nodes[k].states().into_iter().map(|(s, state, since)| (s, (state, since)));
            let absent = AbsentMembers { sites: states.collect(), ..AbsentMembers::default() };
            if self.fleet.nodes[k].all_nodes_use_config() {
                self.ownership[k].mark_settled();
            }
            let claims = self.ownership[k].claims(&self.fleet.config, &absent, now);
            let quota_client = &mut self.clients[k];
            for name in self.budgets_config.budgets.iter().map(|b| &b.name) {
                quota_client.record_usage(name, Usage { wanted: u64::from(claims.contains(name)), used: 0 });
            }
            quota_client.pass(now);
            for outgoing in quota_client.take_outgoing() {
                if !self.partitioned[k] {
                    self.allocator.receive(&outgoing.message, now);
                }
            }
        }
        while let Some(entry) = self.allocator.propose(now) {
            let changed = self.allocator.apply(&entry, now);
            for outgoing in self.allocator.complete_proposal(&entry, changed, now) {
                for k in (0..3).filter(|k| !self.partitioned[*k] && !self.fleet.dead[*k]) {
                    self.clients[k].receive(0, &outgoing.message, now);
                }
            }
        }
        for k in (0..3).filter(|k| !self.fleet.dead[*k]) {
            for b in &self.budgets_config.budgets {
                match self.clients[k].lease(&b.name, now) {
                    Some((grant, asked)) => {
                        self.ownership[k].apply_grant(
                            &b.name,
                            &grant,
                            asked,
                            self.budgets_config.lease_period(b),
                            now,
                        );
                    }
                    None => self.ownership[k].lease_ended(&b.name),
                }
            }
        }
        self.holder();
    }

    /// Runs until a node holds the key's range and returns the time that it takes, in microseconds.
    fn run_until_held_by(&mut self, node: usize) -> Micros {
        let from = self.fleet.now;
        while self.holder() != Some(node) {
            assert!(self.fleet.now < from + 60 * S, "{:?} holds the range, not {node}", self.holder());
            self.step();
        }
        self.fleet.now - from
    }
}

#[test]
fn a_range_moves_to_its_successor_after_a_loss_and_returns() {
    let mut leases = Leases::new();
    leases.run_until_held_by(1);
    // The site runs on but is unreachable for the quota server and the others: it places keys for one lease at most.
    leases.fleet.set_site_loss(1, 1.0);
    leases.partitioned[1] = true;
    let (from, mut expired_after) = (leases.fleet.now, 0);
    while leases.holder() != Some(2) {
        leases.step();
        expired_after = if leases.holder() == Some(1) { leases.fleet.now - from } else { expired_after };
        assert!(leases.fleet.now < from + 60 * S);
    }
    let successor_after = leases.fleet.now - from;
    let s = |t: Micros| t as f64 / 1e6;
    println!(
        "unreachable: its lease expires after {:.2} s, its successor holds the range after {:.2} s",
        s(expired_after),
        s(successor_after)
    );
    assert!(
        expired_after > 3 * S
            && expired_after < 5 * S
            && successor_after > 14 * S
            && successor_after < 22 * S
    );
    leases.fleet.set_site_loss(1, 0.0);
    leases.partitioned[1] = false;
    let home_after = leases.run_until_held_by(1);
    println!("linked again: its home holds the range after {:.2} s", s(home_after));
    assert!(home_after < 8 * S);
    for _ in 0..30 * S / STEP {
        leases.step();
        let now = leases.fleet.now;
        leases.fleet.nodes.iter_mut().for_each(|n| n.mark_recovered("s1", now));
        assert_eq!(leases.holder(), Some(1));
    }
    // All nodes of the site are lost and start again without their disks.
    leases.fleet.set_dead(1, true);
    println!("lost: its successor holds the range after {:.2} s", s(leases.run_until_held_by(2)));
    leases.fleet.set_dead(1, false);
    let number = leases.fleet.config.node_named("s1n0").unwrap().number;
    (leases.clients[1], leases.ownership[1]) = (
        leases.quota_client(number, 2),
        KeyOwnership::new(number, &leases.fleet.config, &PersistedOwnership::default()),
    );
    println!("restarted: its home holds the range after {:.2} s", s(leases.run_until_held_by(1)));
}
