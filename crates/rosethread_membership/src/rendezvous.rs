//! Rendezvous hashing: which node is responsible for what, without any agreement.

use std::cmp::Reverse;

use rosethread_types::{Digest, NodeName, ZoneName};

use crate::ClusterView;

/// Returns the weight of `node` for `key`; the largest weight is responsible.
fn weight(key: &str, node: &NodeName) -> u64 {
    let digest = Digest::default().chain(&[key.as_bytes(), node.as_str().as_bytes()]);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns `nodes` in the order of their responsibility for `key`.
pub fn rank_nodes<'a>(key: &str, nodes: impl Iterator<Item = &'a NodeName>) -> Vec<NodeName> {
    let mut ranked: Vec<_> = nodes.map(|it| (Reverse(weight(key, it)), it)).collect();
    ranked.sort();
    ranked.into_iter().map(|(_, it)| it.clone()).collect()
}

/// Returns the live node that is responsible for `key`.
pub fn responsible_node(view: &ClusterView, key: &str) -> Option<NodeName> {
    view.live().map(|it| &it.node).max_by_key(|it| weight(key, it)).cloned()
}

/// Returns the live node that should own a target: one of the target's zone, or any if none.
pub fn target_owner(view: &ClusterView, target: &str, zone: &ZoneName) -> Option<NodeName> {
    let in_zone = view.live().filter(|it| it.contact.zone == *zone).map(|it| &it.node);
    let best = in_zone.max_by_key(|it| weight(target, it)).cloned();
    best.or_else(|| responsible_node(view, target))
}
