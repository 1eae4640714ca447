//! With whom a node exchanges histories, so that words a node stay flat in the number of nodes and no loss of a few parts the fleet.

use crate::config::SitesConfig;
use std::collections::{BTreeSet, VecDeque};

/// Nodes of another site with which each node exchanges.
const ACROSS: usize = 2;
/// Nodes of the own site after and before a node, in the file's order, with which it exchanges.
const BESIDE: usize = 2;

/// The nodes with which that one exchanges histories, by their numbers; who is a partner of another has that one for a partner, too.
pub fn selected_peers(plan: &SitesConfig, me: u32) -> Vec<u32> {
    let places = places(plan);
    let Some(own) = plan.node_index(me) else { return Vec::new() };
    let nodes = plan.nodes().map(|(_, n)| n.number).enumerate();
    nodes.filter(|(other, _)| meet(&places, own, *other)).map(|(_, number)| number).collect()
}

/// The partners of a node, each with the nodes, by site and name, whose entries it gets from another one. What a node writes goes out
/// along a tree of shortest ways that all draw alike, so over each link once; the other links are spare.
pub fn routes(plan: &SitesConfig, me: u32) -> Vec<(u32, BTreeSet<(String, String)>)> {
    let (places, Some(me)) = (places(plan), plan.node_index(me)) else { return Vec::new() };
    let count = places.len();
    let met: Vec<Vec<usize>> =
        (0..count).map(|a| (0..count).filter(|b| meet(&places, a, *b)).collect()).collect();
    let own = met.get(me).cloned().unwrap_or_default();
    let mut spares = vec![BTreeSet::new(); own.len()];
    for (writer, (site, node)) in plan.nodes().enumerate() {
        let mut from: Vec<Option<usize>> = vec![None; count];
        let mut next = VecDeque::from([writer]);
        while let Some(node) = next.pop_front() {
            for other in met.get(node).into_iter().flatten().filter(|other| **other != writer) {
                if let Some(from @ None) = from.get_mut(*other) {
                    *from = Some(node);
                    next.push_back(*other);
                }
            }
        }
        for (peer, spare) in own.iter().zip(&mut spares) {
            if from.get(*peer) != Some(&Some(me)) {
                spare.insert((site.name.clone(), node.name.clone()));
            }
        }
    }
    let numbers: Vec<u32> = plan.nodes().map(|(_, n)| n.number).collect();
    own.iter().filter_map(|k| numbers.get(*k)).copied().zip(spares).collect()
}

/// Of each node in the file's order its site's place, its own place there, and how many nodes its site has.
fn places(plan: &SitesConfig) -> Vec<(usize, usize, usize)> {
    let sites = plan.sites.iter().enumerate();
    sites.flat_map(|(k, s)| (0..s.nodes.len()).map(move |at| (k, at, s.nodes.len()))).collect()
}

/// Whether two nodes are partners, by their places.
fn meet(places: &[(usize, usize, usize)], a: usize, b: usize) -> bool {
    let (Some(one), Some(other)) = (places.get(a), places.get(b)) else { return false };
    a != b && (meets(*one, *other) || meets(*other, *one))
}

/// Whether one is told by its own place to meet another.
fn meets((own, at, _): (usize, usize, usize), (far, there, count): (usize, usize, usize)) -> bool {
    let most = if own == far { BESIDE } else { ACROSS };
    (0..most).any(|step| (at + step + usize::from(own == far)) % count == there)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    fn fleet(sites: usize, nodes: usize) -> SitesConfig {
        let mut text = "(sites (version 1) (fleet f) (key k)".to_string();
        for s in 0..sites {
            text += &format!("(site s{s} (bears 1)");
            (0..nodes).for_each(|n| text += &format!("(node n{s}x{n} \"127.0.{s}.{n}:1\")"));
            text += ")";
        }
        crate::config::read("t", &(text + ")")).unwrap()
    }

    /// What each node writes comes to each other one from one partner, and from the writer where that is one.
    #[test]
    fn what_one_writes_goes_over_one_link_to_each() {
        for (sites, nodes) in [(2, 1), (3, 2), (4, 40)] {
            let plan = fleet(sites, nodes);
            let count = sites * nodes;
            let mut gets: BTreeMap<(u32, String), Vec<u32>> = BTreeMap::new();
            for (_, node) in plan.nodes() {
                for (peer, spare) in routes(&plan, node.number) {
                    for (site, writer) in plan.nodes() {
                        if !spare.contains(&(site.name.clone(), writer.name.clone())) {
                            gets.entry((peer, writer.name.clone())).or_default().push(node.number);
                        }
                    }
                }
            }
            assert_eq!(gets.len(), count * (count - 1));
            for ((to, writer), from) in gets {
                let writer = plan.node_named(&writer).unwrap().number;
                assert!(
                    from.len() == 1 && (from[0] == writer || !selected_peers(&plan, writer).contains(&to))
                );
            }
        }
    }

    /// Any one node away, and any one site away, all others still reach each other; nobody has more partners as sites grow.
    #[test]
    fn no_loss_of_a_node_or_a_site_parts_the_others() {
        for (sites, nodes) in [(2, 1), (3, 2), (5, 7), (4, 40)] {
            let plan = fleet(sites, nodes);
            let all: Vec<u32> = plan.nodes().map(|(_, n)| n.number).collect();
            let lost = all.iter().map(|n| BTreeSet::from([*n]));
            let whole = plan.sites.iter().map(|s| s.nodes.iter().map(|n| n.number).collect());
            for gone in lost.chain(whole) {
                let left: Vec<u32> = all.iter().copied().filter(|n| !gone.contains(n)).collect();
                let mut reached = BTreeSet::from([left[0]]);
                let mut next = vec![left[0]];
                while let Some(node) = next.pop() {
                    let met = selected_peers(&plan, node);
                    assert!(met.len() <= 2 * BESIDE + 2 * ACROSS * (sites - 1), "{met:?}");
                    next.extend(met.into_iter().filter(|n| !gone.contains(n) && reached.insert(*n)));
                }
                assert_eq!(reached.len(), left.len(), "{sites} sites of {nodes}");
            }
        }
    }
}
