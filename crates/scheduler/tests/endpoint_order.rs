//! Compares the order of endpoints with a simple implementation of it.

// The package doesn't export these modules, and the test uses only a part of them.
#[allow(dead_code)]
#[path = "../src/endpoint_order.rs"]
mod endpoint_order;
#[allow(dead_code)]
#[path = "../src/ids.rs"]
mod ids;

use endpoint_order::{Candidates, EndpointOrder};
use ids::EndpointId;

/// Guards against skipping or repeating endpoints after random marks and swaps.
#[test]
fn available_candidates_are_the_endpoints_not_waiting_in_order() {
    let mut rng = oorandom::Rand64::new(5);
    for n in [0u64, 1, 2, 63, 64, 65, 128, 200] {
        let mut order = EndpointOrder::default();
        let ids: Vec<EndpointId> = (0..n).map(|k| EndpointId((k * 3 % 601) as u32)).collect();
        order.set(ids.clone(), |e| e.0 % 2 == 0);
        let mut waiting: Vec<bool> = ids.iter().map(|e| e.0 % 2 == 0).collect();
        let mut ids = ids;
        for _ in 0..300 {
            let k = rng.rand_range(0..n.max(1)) as usize;
            let j = rng.rand_range(0..n.max(1)) as usize;
            if n > 0 {
                let is_waiting = rng.rand_float() < 0.8;
                waiting[k] = is_waiting;
                order.set_waiting(ids[k], is_waiting);
                ids.swap(k, j);
                waiting.swap(k, j);
                order.swap(k, j);
            }
            let preferred = rng.rand_range(0..n + 1) as usize;
            let from = rng.rand_range(0..preferred.max(1) as u64) as usize;
            let positions = (from..preferred).chain(0..from.min(preferred)).chain(preferred..n as usize);
            let expected: Vec<_> =
                positions.filter(|p| !waiting[*p]).map(|p| (p >= preferred, ids[p])).collect();
            let rotated: Vec<_> = order.available().rotated(from, preferred).collect();
            assert_eq!(rotated, expected, "{n} endpoints, {preferred} preferred, from {from}");
            let all = Candidates::all(&ids).rotated(from, preferred).count();
            assert_eq!(all, n as usize);
            assert!(ids.iter().enumerate().all(|(p, e)| order.position(*e) == Some(p)));
        }
    }
}
