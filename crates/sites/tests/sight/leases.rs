//! Sites that are seen, leases that are asked for because of it, and a divider: who is home to a key while a site is lost and returns.

use crate::fleet::{Fleet, S};
use shorepath_quota::allocator::Allocator;
use shorepath_quota::client::{QuotaClient, Usage};
use shorepath_quota::{config, NodeId, NodeIncarnation};
use shorepath_sites::key_ownership::{budget_name, AbsentMembers, KeyOwnership, PersistedOwnership, Proof};
use shorepath_sites::Micros;

struct Leases {
    f: Fleet,
    seats: Vec<QuotaClient>,
    ownership: Vec<KeyOwnership>,
    allocator: Allocator,
    file: config::Plan,
    /// Sites that the divider neither hears nor reaches.
    cut: Vec<bool>,
    key: String,
}

const STEP: Micros = 50_000;

impl Leases {
    fn new() -> Leases {
        let f = Fleet::new(&[1; 3], 31);
        let mut text = String::from("(budgets (term 5 s) (divider d \"127.0.0.1:1\")");
        for (site, node) in f.plan.nodes() {
            text += &format!("(node {} \"{}\")", node.name, node.address);
            text += &format!(
                "(budget {} (per moment) (whole 1) (longest 1 s))",
                budget_name(&site.name, &node.name)
            );
        }
        let file = config::read("b", &(text + ")")).unwrap();
        let mut allocator = Allocator::new("d", file.clone(), 7);
        allocator.set_leader(true);
        let numbers: Vec<u32> = f.plan.nodes().map(|(_, n)| n.number).collect();
        let ownership: Vec<KeyOwnership> =
            numbers.iter().map(|n| KeyOwnership::new(*n, &f.plan, &PersistedOwnership::default())).collect();
        let key = (0..).map(|k| format!("k{k}")).find(|k| ownership[0].home(k) == "s1/s1n0").unwrap();
        let mut all = Leases { f, seats: Vec::new(), ownership, allocator, file, cut: vec![false; 3], key };
        all.seats = numbers.iter().map(|n| all.quota_client(*n, 1)).collect();
        all
    }

    fn quota_client(&self, node: u32, incarnation: u64) -> QuotaClient {
        QuotaClient::new(
            NodeIncarnation { node: NodeId(node), incarnation },
            self.file.clone(),
            0,
            self.f.now,
        )
    }

    /// Who may place the key now, whatever is known of it.
    fn holder(&self) -> Option<usize> {
        let may = |k: &usize| self.ownership[*k].may_place(&self.key, self.f.now, |_| Proof::Clean).is_ok();
        let all: Vec<usize> = (0..3).filter(may).collect();
        assert!(all.len() < 2, "{all:?} at {}", self.f.now);
        all.first().copied()
    }

    fn step(&mut self) {
        let now = self.f.now + STEP;
        self.f.run(now);
        for k in (0..3).filter(|k| !self.f.dead[*k]).collect::<Vec<_>>() {
            let states = self.f.nodes[k].states().into_iter().map(|(s, seen, since)| (s, (seen, since)));
            let gone = AbsentMembers { sites: states.collect(), ..AbsentMembers::default() };
            if self.f.nodes[k].all_nodes_use_config() {
                self.ownership[k].mark_settled();
            }
            let claims = self.ownership[k].claims(&self.f.plan, &gone, now);
            let quota_client = &mut self.seats[k];
            for name in self.file.budgets.iter().map(|b| &b.name) {
                quota_client.record_usage(name, Usage { wanted: u64::from(claims.contains(name)), used: 0 });
            }
            quota_client.pass(now);
            for outgoing in quota_client.take_outgoing() {
                if !self.cut[k] {
                    self.allocator.receive(&outgoing.message, now);
                }
            }
        }
        while let Some(entry) = self.allocator.propose(now) {
            let changed = self.allocator.apply(&entry, now);
            for outgoing in self.allocator.complete_proposal(&entry, changed, now) {
                for k in (0..3).filter(|k| !self.cut[*k] && !self.f.dead[*k]) {
                    self.seats[k].receive(0, &outgoing.message, now);
                }
            }
        }
        for k in (0..3).filter(|k| !self.f.dead[*k]) {
            for b in &self.file.budgets {
                match self.seats[k].lease(&b.name, now) {
                    Some((grant, asked)) => {
                        self.ownership[k].apply_grant(&b.name, &grant, asked, self.file.lease_period(b), now);
                    }
                    None => self.ownership[k].lease_ended(&b.name),
                }
            }
        }
        self.holder();
    }

    /// How long it takes until that node is home to the key.
    fn until(&mut self, node: usize) -> Micros {
        let from = self.f.now;
        while self.holder() != Some(node) {
            assert!(self.f.now < from + 60 * S, "{:?} is home, not {node}", self.holder());
            self.step();
        }
        self.f.now - from
    }
}

#[test]
fn a_key_goes_to_its_heir_after_the_loss_and_comes_home_again() {
    let mut l = Leases::new();
    l.until(1);
    // The dividers and the others lose it, and it lives on: it places its keys for a lease, and no longer.
    l.f.cut(1, 1.0);
    l.cut[1] = true;
    let (from, mut ended) = (l.f.now, 0);
    while l.holder() != Some(2) {
        l.step();
        ended = if l.holder() == Some(1) { l.f.now - from } else { ended };
        assert!(l.f.now < from + 60 * S);
    }
    let adopted = l.f.now - from;
    let s = |t: Micros| t as f64 / 1e6;
    println!(
        "alone: its lease ends after {:.2} s, its heir has the range after {:.2} s",
        s(ended),
        s(adopted)
    );
    assert!(ended > 3 * S && ended < 5 * S && adopted > 14 * S && adopted < 22 * S);
    l.f.cut(1, 0.0);
    l.cut[1] = false;
    let back = l.until(1);
    println!("linked again: the range is home after {:.2} s", s(back));
    assert!(back < 8 * S);
    for _ in 0..30 * S / STEP {
        l.step();
        let now = l.f.now;
        l.f.nodes.iter_mut().for_each(|n| n.mark_recovered("s1", now));
        assert_eq!(l.holder(), Some(1));
    }
    // Lost whole, and started anew.
    l.f.kill(1, true);
    println!("lost: its heir has the range after {:.2} s", s(l.until(2)));
    l.f.kill(1, false);
    let number = l.f.plan.node_named("s1n0").unwrap().number;
    (l.seats[1], l.ownership[1]) =
        (l.quota_client(number, 2), KeyOwnership::new(number, &l.f.plan, &PersistedOwnership::default()));
    println!("started anew: the range is home after {:.2} s", s(l.until(1)));
}
