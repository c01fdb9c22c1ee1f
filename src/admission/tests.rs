use super::retry_after::MAX_RETRY_AFTER_S;
use super::{
    AdmissionQueue, Dequeued, MachineLimit, RequestClass, ShardingPolicy, SocketBudget,
    SocketPressure, retry_after_s,
};
use crate::settings::{Resources, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

const RESOURCES: Resources = Resources { cpu: 0.2, max_sockets: 3642, memory_mb: 258.0 };

/// For any number of open connections the shares stay within the limit and leave sockets for calls to workers.
#[test]
fn socket_shares_never_exceed_the_limit() {
    let budget = SocketBudget::new(&RESOURCES);
    for open in 0..=budget.public {
        let outgoing = budget.outgoing(open);
        let total = open + outgoing.idle + outgoing.worker_calls;
        assert!(total <= RESOURCES.max_sockets, "{open} {outgoing:?}");
        assert!(outgoing.worker_calls >= budget.min_worker_calls());
        assert!(outgoing.idle <= budget.max_idle());
    }
    assert!((budget.max_machines as usize) < budget.public);
    // The maximum number of machines causes no critical pressure, and users' connections are closed before workers'.
    assert!(budget.pressure(budget.max_machines as usize) < SocketPressure::Critical);
    let mut levels: Vec<_> = (0..=budget.public).map(|open| budget.pressure(open)).collect();
    levels.dedup();
    assert_eq!(levels, [SocketPressure::Normal, SocketPressure::High, SocketPressure::Critical]);
}

/// A leader that falls behind with many machines rents no more. The limit rises after the leader has caught up, and the
/// limit of a small fleet is never reduced.
#[test]
fn machine_limit_is_reduced_while_a_leader_falls_behind_and_recovers_afterwards() {
    let start = Instant::now();
    let mut limit = MachineLimit::new(&RESOURCES, start);
    let full = limit.current();
    let mut now = start;
    let mut observe_for = |limit: &mut MachineLimit, machines: u32, is_late: bool, seconds: u64| {
        for _ in 0..seconds * 5 {
            now += Duration::from_millis(200);
            limit.observe(machines, is_late, now);
        }
    };
    observe_for(&mut limit, full / 4, true, 60);
    assert_eq!(limit.current(), full);
    observe_for(&mut limit, full - 500, true, 60);
    assert_eq!(limit.current(), full - 500);
    observe_for(&mut limit, full - 400, true, 60);
    assert_eq!(limit.current(), full - 500);
    observe_for(&mut limit, full - 400, false, 20);
    assert!(limit.current() > full - 500 && limit.current() < full);
    observe_for(&mut limit, full - 400, false, 300);
    assert_eq!(limit.current(), full);
}

/// Compares the queue with a model that scans a list: the most important class is first, within a class the oldest
/// request, and a rejected request is the newest of the least important class that waits.
#[test]
fn queue_serves_the_most_important_class_first_and_rejects_the_least_important() {
    let mut random = StdRng::seed_from_u64(24);
    let mut queue = AdmissionQueue::new(20);
    let mut model: Vec<(RequestClass, u32)> = Vec::new();
    let now = Instant::now();
    for n in 0..5000 {
        if random.random_bool(0.55) {
            let classes = [RequestClass::Critical, RequestClass::Submission, RequestClass::Poll];
            let class = classes[random.random_range(0..3)];
            model.push((class, n));
            let rejected = (model.len() > 20).then(|| {
                let least_important = model.iter().map(|(class, _)| *class).max().unwrap();
                let at = model.iter().rposition(|(class, _)| *class == least_important).unwrap();
                model.remove(at).1
            });
            assert_eq!(queue.push(class, n, now), rejected);
        } else {
            let most_important = model.iter().map(|(class, _)| *class).min();
            let at = model.iter().position(|(class, _)| Some(*class) == most_important);
            let next = at.map(|at| Dequeued { request: model.remove(at).1, is_expired: false });
            assert_eq!(queue.pop(now), next);
        }
        assert_eq!(queue.len(), model.len());
    }
    queue.push(RequestClass::Critical, 1, now);
    queue.push(RequestClass::Poll, 2, now);
    let later = now + Duration::from_secs(30);
    while let Some(next) = queue.pop(later) {
        assert!(!next.is_expired || next.request != 1, "a heartbeat never expires");
    }
}

/// Requests rejected together are retried over as many seconds as the waiting requests take.
#[test]
fn retries_of_requests_rejected_together_are_spread_over_time() {
    assert!((0..100).all(|salt| retry_after_s(0, salt) == 1));
    let mut by_second = [0u32; 1 + MAX_RETRY_AFTER_S as usize];
    (0..3000).for_each(|salt| by_second[retry_after_s(100_000, salt) as usize] += 1);
    let expected = 3000 / MAX_RETRY_AFTER_S as u32;
    assert!(by_second[1..].iter().all(|n| n.abs_diff(expected) < expected / 2), "{by_second:?}");
}

/// Heartbeats are sharded above a share of one controller's capacity by sockets or processor, or above a number of
/// workers, until they are clearly below it. The operators' setting overrides this.
#[test]
fn heartbeats_are_sharded_above_a_share_of_one_controllers_capacity() {
    let policy = |resources: &str, operator: &str| {
        let text = r#"{"host_name":"n","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
            "external":{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"},
            "params":{"zones":["a"],"teams":[{"name":"t","cpus_max":8.0}],
            "workers":{"report_s":2.5,"lease_s":14.0,"cancel_s":32.0},
            "state":{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":12},
            "cloud":{"rps":5.0,"list_lag_s":3.0},"resources":RESOURCES}}"#;
        let text = text.replace("RESOURCES", resources);
        ShardingPolicy::new(&Settings::parse(&text, Some(operator)).unwrap())
    };
    // Capacities: 836 machines by sockets and 1,250 by processor; 750 by processor; 6,688 by sockets.
    for (resources, shards_at, unshards_at) in [
        (r#"{"max_sockets":1000,"cpu":0.08}"#, 510, 330),
        (r#"{"max_sockets":4000,"cpu":0.048}"#, 460, 290),
        (r#"{"max_sockets":8000,"cpu":1.0}"#, 1510, 990),
    ] {
        let mut policy = policy(resources, "");
        assert!(!policy.update(shards_at * 9 / 10), "{resources}");
        assert!(policy.update(shards_at) && policy.update(shards_at * 9 / 10), "{resources}");
        assert!(!policy.update(unshards_at) && !policy.update(shards_at * 9 / 10), "{resources}");
    }
    let resources = r#"{"max_sockets":1000,"cpu":0.08}"#;
    assert!(!policy(resources, "share_reports: never").update(100_000));
    assert!(policy(resources, "share_reports: always").update(1));
}
