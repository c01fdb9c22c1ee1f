use super::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RESOURCES: Resources = Resources { cpu: 0.2, max_sockets: 3642, memory_mb: 258.0 };

/// Whatever is open, all shares together stay within the limit, and calls to workers never starve.
#[test]
fn shares_of_sockets_add_up() {
    let sockets = Sockets::new(&RESOURCES);
    for open in 0..=sockets.public {
        let (idle, direct) = sockets.ours(open);
        assert!(open + idle + direct <= RESOURCES.max_sockets, "{open} {idle} {direct}");
        assert!(direct >= sockets.direct_least && idle <= sockets.idle_most);
    }
    assert!((sockets.machines as usize) < sockets.public);
    // What is planned for fits, and users' connections are closed before workers' are.
    assert!(!sockets.full(sockets.machines as usize) && sockets.full(sockets.public));
    assert!((0..sockets.public).all(|open| !sockets.full(open) || sockets.tight(open)));
}

/// A leader that falls behind with many machines rents no more; it gets its room back some time after
/// it has caught up, and a small fleet never loses any.
#[test]
fn a_ceiling_comes_down_where_a_leader_falls_behind_and_rises_again() {
    let start = Instant::now();
    let mut ceiling = MachineLimit::new(&RESOURCES, start);
    let full = ceiling.most();
    let mut now = start;
    let mut play = |ceiling: &mut MachineLimit, machines: u32, late: bool, seconds: u64| {
        for _ in 0..seconds * 5 {
            now += Duration::from_millis(200);
            ceiling.look(machines, late, now);
        }
    };
    play(&mut ceiling, full / 4, true, 60);
    assert_eq!(ceiling.most(), full);
    play(&mut ceiling, full - 500, true, 60);
    assert_eq!(ceiling.most(), full - 500);
    play(&mut ceiling, full - 400, true, 60);
    assert_eq!(ceiling.most(), full - 500);
    play(&mut ceiling, full - 400, false, 20);
    assert!(ceiling.most() > full - 500 && ceiling.most() < full);
    play(&mut ceiling, full - 400, false, 300);
    assert_eq!(ceiling.most(), full);
}

/// Against a plain list: the most needed first, within each the oldest, and what goes over is always of
/// the least needed that wait.
#[test]
fn what_is_needed_most_goes_first_and_what_is_needed_least_is_refused() {
    let mut random = StdRng::seed_from_u64(24);
    let mut inbox = AdmissionQueue::new(20);
    let mut plain: Vec<(Need, u32)> = Vec::new();
    let now = Instant::now();
    for n in 0..5000 {
        if random.random_bool(0.55) {
            let need = [Need::Keeps, Need::Submits, Need::Asks][random.random_range(0..3)];
            plain.push((need, n));
            let refused = (plain.len() > 20).then(|| {
                let worst = plain.iter().map(|(need, _)| *need).max().unwrap();
                let at = plain.iter().rposition(|(need, _)| *need == worst).unwrap();
                plain.remove(at).1
            });
            assert_eq!(inbox.push(need, n, now), refused);
        } else {
            let best = plain.iter().map(|(need, _)| *need).min();
            let at = plain.iter().position(|(need, _)| Some(*need) == best);
            let next = at.map(|at| (plain.remove(at).1, false));
            assert_eq!(inbox.pop(now), next);
        }
        assert_eq!(inbox.len(), plain.len());
    }
    inbox.push(Need::Keeps, 1, now);
    inbox.push(Need::Asks, 2, now);
    let later = now + Duration::from_secs(30);
    while let Some((request, late)) = inbox.pop(later) {
        assert!(!late || request != 1, "a report is never too late");
    }
}

/// Those refused in one moment come back over as many seconds as there is to do.
#[test]
fn who_is_refused_comes_back_spread_over_time() {
    assert!((0..100).all(|salt| come_back_s(0, salt) == 1));
    let mut by_second = [0u32; 1 + COME_BACK_MOST_S as usize];
    (0..3000).for_each(|salt| by_second[come_back_s(100_000, salt) as usize] += 1);
    let expected = 3000 / COME_BACK_MOST_S as u32;
    assert!(by_second[1..].iter().all(|n| n.abs_diff(expected) < expected / 2), "{by_second:?}");
}

/// Reports are shared out from a share of what one controller can take, by sockets or processor, or from a number of
/// workers, until they are clearly too few; operators may decide otherwise.
#[test]
fn reports_are_shared_out_by_what_one_controller_can_take() {
    let look = |resources: &str, operator: &str| {
        let text = r#"{"host_name":"n","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
            "external":{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"},
            "params":{"zones":["a"],"teams":[{"name":"t","cpus_max":8.0}],
            "workers":{"report_s":2.5,"lease_s":14.0,"cancel_s":32.0},
            "state":{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":12},
            "cloud":{"rps":5.0,"list_lag_s":3.0},"resources":RESOURCES}}"#;
        let text = text.replace("RESOURCES", resources);
        Load::new(&Settings::parse(&text, Some(operator)).unwrap())
    };
    // 836 by sockets, 1,250 by processor; then 750 by processor; then 6,688 by sockets.
    for (resources, on, off) in [
        (r#"{"max_sockets":1000,"cpu":0.08}"#, 510, 330),
        (r#"{"max_sockets":4000,"cpu":0.048}"#, 460, 290),
        (r#"{"max_sockets":8000,"cpu":1.0}"#, 1510, 990),
    ] {
        let mut load = look(resources, "");
        assert!(!load.look(on * 9 / 10), "{resources}");
        assert!(load.look(on) && load.look(on * 9 / 10), "{resources}");
        assert!(!load.look(off) && !load.look(on * 9 / 10), "{resources}");
    }
    let resources = r#"{"max_sockets":1000,"cpu":0.08}"#;
    assert!(!look(resources, "share_reports: never").look(100_000));
    assert!(look(resources, "share_reports: always").look(1));
}
