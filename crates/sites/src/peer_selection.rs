//! Selection of the peers with which a node exchanges its history. The number of peers does not grow with the size
//! of a site, and the loss of one node or one site does not partition the rest.

use crate::config::SitesConfig;
use std::collections::{BTreeSet, VecDeque};

/// Number of nodes that each node selects in every other site.
const REMOTE_SUCCESSORS: usize = 2;
/// Number of nodes that each node selects in its own site, following it in the order of the configuration.
const LOCAL_SUCCESSORS: usize = 2;

/// Returns the numbers of the peers of a node. The relation is symmetric; a node that the configuration does not
/// name has no peers.
pub fn selected_peers(config: &SitesConfig, me: u32) -> Vec<u32> {
    let positions = positions(config);
    let Some(own) = config.node_index(me) else { return Vec::new() };
    let nodes = config.nodes().map(|(_, n)| n.number).enumerate();
    nodes.filter(|(other, _)| are_peers(&positions, own, *other)).map(|(_, number)| number).collect()
}

/// Returns the peers of a node by number, each with the writers, by site and node name, whose entries the peer
/// gets from another node. The entries of a writer spread along a shortest-path tree that all nodes compute alike,
/// so each node receives them over one link; the other links are redundant.
pub fn routes(config: &SitesConfig, me: u32) -> Vec<(u32, BTreeSet<(String, String)>)> {
    let (positions, Some(me)) = (positions(config), config.node_index(me)) else { return Vec::new() };
    let count = positions.len();
    let neighbours: Vec<Vec<usize>> =
        (0..count).map(|a| (0..count).filter(|b| are_peers(&positions, a, *b)).collect()).collect();
    let own = neighbours.get(me).cloned().unwrap_or_default();
    let mut redundant = vec![BTreeSet::new(); own.len()];
    for (writer, (site, node)) in config.nodes().enumerate() {
        let mut from: Vec<Option<usize>> = vec![None; count];
        let mut queue = VecDeque::from([writer]);
        while let Some(node) = queue.pop_front() {
            for other in neighbours.get(node).into_iter().flatten().filter(|other| **other != writer) {
                if let Some(from @ None) = from.get_mut(*other) {
                    *from = Some(node);
                    queue.push_back(*other);
                }
            }
        }
        for (peer, redundant_writers) in own.iter().zip(&mut redundant) {
            if from.get(*peer) != Some(&Some(me)) {
                redundant_writers.insert((site.name.clone(), node.name.clone()));
            }
        }
    }
    let numbers: Vec<u32> = config.nodes().map(|(_, n)| n.number).collect();
    own.iter().filter_map(|k| numbers.get(*k)).copied().zip(redundant).collect()
}

/// Returns, for each node in the order of the configuration, the index of its site, its index in the site, and the
/// number of nodes of the site.
fn positions(config: &SitesConfig) -> Vec<(usize, usize, usize)> {
    let sites = config.sites.iter().enumerate();
    sites.flat_map(|(k, s)| (0..s.nodes.len()).map(move |at| (k, at, s.nodes.len()))).collect()
}

/// Returns whether two nodes, given by their index among all nodes, are peers.
fn are_peers(positions: &[(usize, usize, usize)], a: usize, b: usize) -> bool {
    let (Some(first), Some(other)) = (positions.get(a), positions.get(b)) else { return false };
    a != b && (selects(*first, *other) || selects(*other, *first))
}

/// Returns whether the node at the first position selects the one at the second position as a peer.
fn selects(
    (own, at, _): (usize, usize, usize),
    (other_site, other_index, count): (usize, usize, usize),
) -> bool {
    let selected = if own == other_site { LOCAL_SUCCESSORS } else { REMOTE_SUCCESSORS };
    (0..selected).any(|step| (at + step + usize::from(own == other_site)) % count == other_index)
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

    /// Guards against entries that are delivered twice or never.
    #[test]
    fn entries_reach_each_node_over_one_link() {
        for (sites, nodes) in [(2, 1), (3, 2), (4, 40)] {
            let config = fleet(sites, nodes);
            let count = sites * nodes;
            let mut senders: BTreeMap<(u32, String), Vec<u32>> = BTreeMap::new();
            for (_, node) in config.nodes() {
                for (peer, redundant_writers) in routes(&config, node.number) {
                    for (site, writer) in config.nodes() {
                        if !redundant_writers.contains(&(site.name.clone(), writer.name.clone())) {
                            senders.entry((peer, writer.name.clone())).or_default().push(node.number);
                        }
                    }
                }
            }
            assert_eq!(senders.len(), count * (count - 1));
            for ((to, writer), from) in senders {
                let writer = config.node_named(&writer).unwrap().number;
                assert!(
                    from.len() == 1 && (from[0] == writer || !selected_peers(&config, writer).contains(&to))
                );
            }
        }
    }

    /// Guards against a partition of the rest, and against peer lists that grow with the size of sites.
    #[test]
    fn losing_one_node_or_site_does_not_partition_the_rest() {
        for (sites, nodes) in [(2, 1), (3, 2), (5, 7), (4, 40)] {
            let config = fleet(sites, nodes);
            let all: Vec<u32> = config.nodes().map(|(_, n)| n.number).collect();
            let lost = all.iter().map(|n| BTreeSet::from([*n]));
            let sites_lost = config.sites.iter().map(|s| s.nodes.iter().map(|n| n.number).collect());
            for removed in lost.chain(sites_lost) {
                let remaining: Vec<u32> = all.iter().copied().filter(|n| !removed.contains(n)).collect();
                let mut reachable = BTreeSet::from([remaining[0]]);
                let mut queue = vec![remaining[0]];
                while let Some(node) = queue.pop() {
                    let neighbours = selected_peers(&config, node);
                    assert!(
                        neighbours.len() <= 2 * LOCAL_SUCCESSORS + 2 * REMOTE_SUCCESSORS * (sites - 1),
                        "{neighbours:?}"
                    );
                    queue.extend(
                        neighbours.into_iter().filter(|n| !removed.contains(n) && reachable.insert(*n)),
                    );
                }
                assert_eq!(reachable.len(), remaining.len(), "{sites} sites of {nodes}");
            }
        }
    }
}
