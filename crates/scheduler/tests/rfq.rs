//! Tests of Redemptive Fair Queuing with hand-computed tags. The starts at the single endpoint are not
//! reported, so it gets one request at a time, like the server of the paper.

mod common;
use common::*;
use shorepath_scheduler::*;

/// Returns settings of two tenants with 50 requests a second each. The latency objective is 1 s in class 0
/// and 100 ms in class 1.
fn two_tenants() -> Settings {
    let tenant = TenantSettings { share: 0.5, quota_per_second: 50.0 };
    let mut settings = settings();
    (settings.over_share_fraction, settings.schedulers) = (1.0, 1);
    settings.tenants = vec![tenant.clone(), tenant];
    settings.classes = vec![ClassSettings { work_factor: 0.0, ..class_settings(Idempotency::Idempotent) }; 2];
    settings.classes[0].latency_objective = 1_000 * MS;
    settings.classes[1].latency_objective = 100 * MS;
    settings
}

fn tenant_request(tenant: usize, id: u64, class: usize) -> Event {
    Event::RequestArrived(Request { tenant: Some(TenantId(tenant)), ..request(id, class) })
}

/// Serves one request after another, from the given one on, until the queue is empty. Returns their order.
fn serve_all(harness: &mut Harness, mut running: u64) -> Vec<u64> {
    let mut order = vec![running];
    loop {
        harness.now += MS;
        let actions = harness.attempt_ended(running, 0, AttemptStatus::Ok);
        match new_attempts(&actions).first() {
            Some(&(id, _)) => running = id,
            None => return order,
        }
        order.push(running);
    }
}

#[test]
fn request_with_the_least_finish_tag_starts_first() {
    let mut harness = Harness::new(two_tenants(), 1);
    harness.handle(tenant_request(0, 1, 0));
    harness.handle(tenant_request(0, 2, 0)); // finish tag: now + 1000 ms
    harness.now += MS;
    harness.handle(tenant_request(1, 3, 1)); // finish tag: now + 1 ms + 100 ms
    assert_eq!(serve_all(&mut harness, 1), [1, 3, 2]);
}

#[test]
fn requests_beyond_the_bucket_wait_for_tokens() {
    // The mean latency objective is 550 ms, so the bucket's depth (sigma) is 50/s x 0.55 s = 27.5.
    let mut harness = Harness::new(two_tenants(), 1);
    for id in 0..29 {
        harness.handle(tenant_request(0, id, 1));
    }
    // 27 requests found a token. The 28th found half a token, so its start tag is now + 0.5 / 50 s. The 29th
    // has the largest start tag so far plus 20 ms.
    harness.now += MS;
    harness.handle(tenant_request(1, 100, 1));
    let order = serve_all(&mut harness, 0);
    let position = |id| order.iter().position(|&o| o == id);
    assert_eq!(&order[..27], (0..27).collect::<Vec<_>>());
    // The other tenant's request has a token and starts before the two without, although it arrived later.
    assert_eq!((position(100), position(27), position(28)), (Some(27), Some(28), Some(29)));
}

#[test]
fn synchronization_point_lets_requests_without_tokens_use_spare_capacity() {
    let mut harness = Harness::new(two_tenants(), 1);
    // Far more requests than tokens, but no other request is queued, so each starts at once.
    for id in 0..100 {
        harness.now += MS;
        assert_eq!(new_attempts(&harness.handle(tenant_request(0, id, 1))).len(), 1, "{id}");
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
}

/// Guards against starving a tenant that used spare capacity once the other tenant returns, as in example 1
/// of the paper.
#[test]
fn tenant_is_not_starved_for_its_use_of_spare_capacity() {
    let mut harness = Harness::new(two_tenants(), 1);
    let start = harness.now;
    let (mut running, mut done_at) = (None, 0);
    let mut arrivals = std::collections::BTreeMap::new();
    let (mut served, mut longest_wait) = (0, 0);
    for step in 0..1500u64 {
        harness.now = start + step as i64 * 2 * MS;
        let mut actions = Vec::new();
        if let Some(id) = running.filter(|_| done_at <= harness.now) {
            running = None;
            actions.extend(harness.attempt_ended(id, 0, AttemptStatus::Ok));
        }
        // Tenant 0: 100/s for two seconds, then 50/s. Tenant 1: a burst at 2 s, then 50/s.
        let steps_per_request = if step < 1000 { 5 } else { 10 };
        if step % steps_per_request == 0 {
            arrivals.insert(step, harness.now);
            actions.extend(harness.handle(tenant_request(0, step, 1)));
        }
        let burst = if step == 1000 { 50 } else { u64::from(step > 1000 && step % 10 == 5) };
        for n in 0..burst {
            actions.extend(harness.handle(tenant_request(1, 10_000 + 100 * step + n, 1)));
        }
        for (id, _) in new_attempts(&actions) {
            (running, done_at) = (Some(id), harness.now + 10 * MS);
            if let (true, Some(at)) = (step >= 1000, arrivals.get(&id)) {
                served += 1;
                longest_wait = longest_wait.max(harness.now - at);
            }
        }
    }
    assert!(served >= 40, "{served} of 50 requests of the third second were served");
    assert!(longest_wait <= 100 * MS, "{longest_wait}");
}

#[test]
fn shed_requests_take_no_tokens() {
    let mut settings = two_tenants();
    settings.over_share_fraction = 0.05; // waits 0.05 x 550 ms at most beyond its share
    let mut harness = Harness::new(settings, 1);
    let mut shed = 0;
    for id in 0..200 {
        shed += usize::from(is_shed(&harness.handle(tenant_request(0, id, 1)), id));
    }
    // 27 requests have a token and one waits 10 ms for one; the next would wait 30 ms.
    assert_eq!(shed, 200 - 28);
    // Two seconds later the bucket is full again.
    serve_all(&mut harness, 0);
    harness.now += 2 * S;
    harness.handle(tenant_request(1, 1000, 1));
    assert!(!is_shed(&harness.handle(tenant_request(0, 1001, 1)), 1001));
}
