//! Rendezvous hashing: assigns keys to nodes without coordination.

use std::cmp::Reverse;

use rosethread_types::{Digest, NodeName, ZoneName};

use crate::ClusterView;

/// Returns the weight of `node` for `key`. The node with the largest weight is responsible.
fn weight(key: &str, node: &NodeName) -> u64 {
    let digest = Digest::default().chain(&[key.as_bytes(), node.as_str().as_bytes()]);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns `nodes` in descending order of their weights for `key`.
///
/// The first is responsible; each next one takes over if all before it are gone.
pub fn rank_nodes<'a>(key: &str, nodes: impl Iterator<Item = &'a NodeName>) -> Vec<NodeName> {
    let mut ranked: Vec<_> = nodes.map(|it| (Reverse(weight(key, it)), it)).collect();
    ranked.sort();
    ranked.into_iter().map(|(_, it)| it.clone()).collect()
}

/// Returns the live node that is responsible for `key`; none if no node is live.
pub fn responsible_node(view: &ClusterView, key: &str) -> Option<NodeName> {
    view.live().map(|it| &it.node).max_by_key(|it| weight(key, it)).cloned()
}

/// Returns the live node that should own a target.
///
/// Nodes in the target's zone are preferred; if none is live there, any live node can own it.
pub fn target_owner(view: &ClusterView, target: &str, zone: &ZoneName) -> Option<NodeName> {
    let in_zone = view.live().filter(|it| it.contact.zone == *zone).map(|it| &it.node);
    let best = in_zone.max_by_key(|it| weight(target, it)).cloned();
    best.or_else(|| responsible_node(view, target))
}
