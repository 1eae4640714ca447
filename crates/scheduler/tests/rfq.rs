//! Each step of RFQ with numbers worked by hand. One worker that tells no start is the paper's
//! server: it gets one job at a time.

mod common;
use common::*;
use shorepath_scheduler::*;

/// Two tenants of 50 requests a second each; requests wanted within 100 ms.
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

fn of(tenant: usize, id: u64, class: usize) -> Event {
    Event::RequestArrived(Request { tenant: Some(TenantId(tenant)), ..request(id, class) })
}

/// Serve what is out, one job at a time, and list the order of release.
fn drain(harness: &mut Harness, mut out: u64) -> Vec<u64> {
    let mut order = vec![out];
    loop {
        harness.now += MS;
        let actions = harness.attempt_ended(out, 0, AttemptStatus::Ok);
        match new_attempts(&actions).first() {
            Some(&(id, _)) => out = id,
            None => return order,
        }
        order.push(out);
    }
}

#[test]
fn least_finish_tag_leaves_first() {
    let mut harness = Harness::new(two_tenants(), 1);
    harness.handle(of(0, 1, 0));
    harness.handle(of(0, 2, 0)); // F = now + 1000 ms
    harness.now += MS;
    harness.handle(of(1, 3, 1)); // F = now + 1 ms + 100 ms
    assert_eq!(drain(&mut harness, 1), [1, 3, 2]);
}

#[test]
fn requests_beyond_the_bucket_wait_for_tokens() {
    // Both classes want 1000 and 100 ms, 550 ms in the mean: sigma is 50/s x 0.55 s = 27.5.
    let mut harness = Harness::new(two_tenants(), 1);
    for id in 0..29 {
        harness.handle(of(0, id, 1));
    }
    // 27 were good; the 28th had half a token: S = now + 0.5 / 50 s, the 29th S = MaxS + 20 ms.
    harness.now += MS;
    harness.handle(of(1, 100, 1));
    let order = drain(&mut harness, 0);
    let at = |id| order.iter().position(|&o| o == id);
    assert_eq!(&order[..27], (0..27).collect::<Vec<_>>());
    // The other tenant's good request came later but goes before the bad ones.
    assert_eq!((at(100), at(27), at(28)), (Some(27), Some(28), Some(29)));
}

#[test]
fn a_sync_point_lets_bad_requests_use_spare_capacity() {
    let mut harness = Harness::new(two_tenants(), 1);
    // Far beyond the bucket, but nothing else is held: each leaves at once.
    for id in 0..100 {
        harness.now += MS;
        assert_eq!(new_attempts(&harness.handle(of(0, id, 1))).len(), 1, "{id}");
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
}

/// Example 1 of the paper, its first two seconds at an even pace: who used spare capacity while
/// the other was idle is not starved when the other comes back.
#[test]
fn use_of_spare_capacity_is_forgiven() {
    let mut harness = Harness::new(two_tenants(), 1);
    let start = harness.now;
    let (mut busy, mut done_at) = (None, 0);
    let mut asked = std::collections::BTreeMap::new();
    let (mut served, mut longest) = (0, 0);
    for step in 0..1500u64 {
        harness.now = start + step as i64 * 2 * MS;
        let mut actions = Vec::new();
        if let Some(id) = busy.filter(|_| done_at <= harness.now) {
            busy = None;
            actions.extend(harness.attempt_ended(id, 0, AttemptStatus::Ok));
        }
        // Tenant 0: 100/s for two seconds, then 50/s. Tenant 1: a burst at 2 s, then 50/s.
        let every = if step < 1000 { 5 } else { 10 };
        if step % every == 0 {
            asked.insert(step, harness.now);
            actions.extend(harness.handle(of(0, step, 1)));
        }
        let burst = if step == 1000 { 50 } else { u64::from(step > 1000 && step % 10 == 5) };
        for n in 0..burst {
            actions.extend(harness.handle(of(1, 10_000 + 100 * step + n, 1)));
        }
        for (id, _) in new_attempts(&actions) {
            (busy, done_at) = (Some(id), harness.now + 10 * MS);
            if let (true, Some(at)) = (step >= 1000, asked.get(&id)) {
                served += 1;
                longest = longest.max(harness.now - at);
            }
        }
    }
    assert!(served >= 40, "{served} of the 50 it asked for in the third second");
    assert!(longest <= 100 * MS, "{longest}");
}

#[test]
fn a_flood_is_refused_and_takes_no_tokens() {
    let mut settings = two_tenants();
    settings.over_share_fraction = 0.05; // beyond its share it waits 0.05 x 550 ms at most
    let mut harness = Harness::new(settings, 1);
    let mut turned_away = 0;
    for id in 0..200 {
        turned_away += usize::from(is_shed(&harness.handle(of(0, id, 1)), id));
    }
    // 27 good ones, one at 10 ms; the next would lie at 30 ms.
    assert_eq!(turned_away, 200 - 28);
    // The refused ones spent nothing: two seconds on, the bucket is as full as ever.
    drain(&mut harness, 0);
    harness.now += 2 * S;
    harness.handle(of(1, 1000, 1));
    assert!(!is_shed(&harness.handle(of(0, 1001, 1)), 1001));
}
