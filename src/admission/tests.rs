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

/// Whatever is open, all shares together stay within the limit, and calls to workers never starve.
#[test]
fn shares_of_sockets_add_up() {
    let budget = SocketBudget::new(&RESOURCES);
    for open in 0..=budget.public {
        let outgoing = budget.outgoing(open);
        let total = open + outgoing.idle + outgoing.worker_calls;
        assert!(total <= RESOURCES.max_sockets, "{open} {outgoing:?}");
        assert!(outgoing.worker_calls >= budget.min_worker_calls());
        assert!(outgoing.idle <= budget.max_idle());
    }
    assert!((budget.max_machines as usize) < budget.public);
    // The machines that are planned for fit, and users' connections are closed before workers' are.
    assert!(budget.pressure(budget.max_machines as usize) < SocketPressure::Critical);
    let mut levels: Vec<_> = (0..=budget.public).map(|open| budget.pressure(open)).collect();
    levels.dedup();
    assert_eq!(levels, [SocketPressure::Normal, SocketPressure::High, SocketPressure::Critical]);
}

/// A leader that falls behind with many machines rents no more; its limit rises some time after
/// it has caught up, and that of a small fleet never comes down.
#[test]
fn the_machine_limit_comes_down_where_a_leader_falls_behind_and_rises_again() {
    let start = Instant::now();
    let mut limit = MachineLimit::new(&RESOURCES, start);
    let full = limit.current();
    let mut now = start;
    let mut play = |limit: &mut MachineLimit, machines: u32, is_late: bool, seconds: u64| {
        for _ in 0..seconds * 5 {
            now += Duration::from_millis(200);
            limit.observe(machines, is_late, now);
        }
    };
    play(&mut limit, full / 4, true, 60);
    assert_eq!(limit.current(), full);
    play(&mut limit, full - 500, true, 60);
    assert_eq!(limit.current(), full - 500);
    play(&mut limit, full - 400, true, 60);
    assert_eq!(limit.current(), full - 500);
    play(&mut limit, full - 400, false, 20);
    assert!(limit.current() > full - 500 && limit.current() < full);
    play(&mut limit, full - 400, false, 300);
    assert_eq!(limit.current(), full);
}

/// Against a plain list: the most important first, within each class the oldest, and what is rejected is always of
/// the least important class that waits.
#[test]
fn the_most_important_class_goes_first_and_the_least_important_is_rejected() {
    let mut random = StdRng::seed_from_u64(24);
    let mut queue = AdmissionQueue::new(20);
    let mut plain: Vec<(RequestClass, u32)> = Vec::new();
    let now = Instant::now();
    for n in 0..5000 {
        if random.random_bool(0.55) {
            let classes = [RequestClass::Critical, RequestClass::Submission, RequestClass::Poll];
            let class = classes[random.random_range(0..3)];
            plain.push((class, n));
            let rejected = (plain.len() > 20).then(|| {
                let worst = plain.iter().map(|(class, _)| *class).max().unwrap();
                let at = plain.iter().rposition(|(class, _)| *class == worst).unwrap();
                plain.remove(at).1
            });
            assert_eq!(queue.push(class, n, now), rejected);
        } else {
            let best = plain.iter().map(|(class, _)| *class).min();
            let at = plain.iter().position(|(class, _)| Some(*class) == best);
            let next = at.map(|at| Dequeued { request: plain.remove(at).1, is_expired: false });
            assert_eq!(queue.pop(now), next);
        }
        assert_eq!(queue.len(), plain.len());
    }
    queue.push(RequestClass::Critical, 1, now);
    queue.push(RequestClass::Poll, 2, now);
    let later = now + Duration::from_secs(30);
    while let Some(next) = queue.pop(later) {
        assert!(!next.is_expired || next.request != 1, "a heartbeat never expires");
    }
}

/// Requests rejected in one moment are retried over as many seconds as there is to do.
#[test]
fn retries_are_spread_over_time() {
    assert!((0..100).all(|salt| retry_after_s(0, salt) == 1));
    let mut by_second = [0u32; 1 + MAX_RETRY_AFTER_S as usize];
    (0..3000).for_each(|salt| by_second[retry_after_s(100_000, salt) as usize] += 1);
    let expected = 3000 / MAX_RETRY_AFTER_S as u32;
    assert!(by_second[1..].iter().all(|n| n.abs_diff(expected) < expected / 2), "{by_second:?}");
}

/// Heartbeats are sharded from a share of what one controller can take, by sockets or processor, or from a number of
/// workers, until they are clearly too few; operators may decide otherwise.
#[test]
fn heartbeats_are_sharded_by_what_one_controller_can_take() {
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
    // 836 by sockets, 1,250 by processor; then 750 by processor; then 6,688 by sockets.
    for (resources, on, off) in [
        (r#"{"max_sockets":1000,"cpu":0.08}"#, 510, 330),
        (r#"{"max_sockets":4000,"cpu":0.048}"#, 460, 290),
        (r#"{"max_sockets":8000,"cpu":1.0}"#, 1510, 990),
    ] {
        let mut policy = policy(resources, "");
        assert!(!policy.update(on * 9 / 10), "{resources}");
        assert!(policy.update(on) && policy.update(on * 9 / 10), "{resources}");
        assert!(!policy.update(off) && !policy.update(on * 9 / 10), "{resources}");
    }
    let resources = r#"{"max_sockets":1000,"cpu":0.08}"#;
    assert!(!policy(resources, "share_reports: never").update(100_000));
    assert!(policy(resources, "share_reports: always").update(1));
}
