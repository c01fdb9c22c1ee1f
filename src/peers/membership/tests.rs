use super::{
    LeaderLoad, Member, MemberCandidate, MemberChoice, Membership, REDIRECT_INTERVAL, Redirects,
    choose_members,
};
use crate::ids::{ControllerId, MachineId};
use std::collections::BTreeMap;
use tokio::time::Instant;

fn members(weights: &[u32]) -> Membership {
    let member = |(n, weight): (usize, &u32)| Member {
        name: ControllerId::new(&format!("spindle-{n}")),
        zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
        weight: *weight,
    };
    Membership::new(weights.iter().enumerate().map(member).collect())
}

fn workers() -> impl Iterator<Item = (MachineId, &'static str)> {
    (0..5600).map(|n| (MachineId::new(&format!("i-{n:06}")), if n % 3 == 0 { "a" } else { "b" }))
}

fn shares(membership: &Membership) -> BTreeMap<ControllerId, usize> {
    let mut counts = BTreeMap::new();
    for (id, zone) in workers() {
        *counts.entry(membership.owner(&id, zone).unwrap().clone()).or_default() += 1;
    }
    counts
}

#[test]
fn members_own_less_than_twice_the_even_share_and_weight_zero_owns_none() {
    let counts = shares(&members(&[1000; 12]));
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|n| *n < 2 * 5600 / 12), "{counts:?}");
    let counts = shares(&members(&[1000, 0, 1000, 500]));
    assert!(!counts.contains_key(&ControllerId::new("spindle-1")));
}

/// Removing a controller moves only its own workers, so adding it again moves only them back.
#[test]
fn removing_a_member_moves_only_its_own_workers() {
    let (all, without_one) = (members(&[1000; 5]), members(&[1000, 1000, 0, 1000, 1000]));
    let removed = ControllerId::new("spindle-2");
    for (id, zone) in workers() {
        let (before, after) = (all.owner(&id, zone), without_one.owner(&id, zone));
        assert!(before == after || before == Some(&removed));
    }
    assert_eq!(Membership::default().owner(&MachineId::new("i-1"), "a"), None);
}

fn candidate(n: usize, free_sockets_permille: u16, is_available: bool) -> MemberCandidate {
    MemberCandidate {
        name: ControllerId::new(&format!("spindle-{n}")),
        zone: "a".into(),
        free_sockets_permille,
        is_available,
    }
}

fn leader(workers: usize, is_member: bool) -> LeaderLoad {
    let name = ControllerId::new("leader");
    LeaderLoad { name, zone: "a".into(), workers, workers_per_controller: 1000, is_member }
}

#[test]
fn members_are_available_controllers_weighted_by_free_sockets() {
    let candidates = [
        candidate(0, 900, true),
        candidate(1, 900, false),
        candidate(2, 100, true),
        candidate(3, 10, true),
    ];
    let MemberChoice { membership, includes_leader } =
        choose_members(&candidates, &leader(100, false));
    let weights: Vec<(&str, u32)> =
        membership.members().iter().map(|m| (m.name.as_str(), m.weight)).collect();
    let expected = [("spindle-0", 1000), ("spindle-2", 250), ("spindle-3", 0)];
    assert!(weights == expected && !includes_leader, "{weights:?}");
    assert!(membership.contains(&ControllerId::new("spindle-2")));
    assert!(!membership.contains(&ControllerId::new("spindle-3")));
    // Without another controller that can receive heartbeats there are no members.
    for unusable_candidates in
        [vec![], vec![candidate(0, 900, false)], vec![candidate(0, 10, true)]]
    {
        assert_eq!(
            choose_members(&unusable_candidates, &leader(100, true)),
            MemberChoice::default()
        );
    }
}

#[test]
fn leader_joins_above_the_upper_load_threshold_and_leaves_below_the_lower_one() {
    let candidates = [candidate(0, 900, true), candidate(1, 900, true)];
    assert!(!choose_members(&candidates, &leader(700, false)).includes_leader);
    assert!(
        choose_members(&candidates, &leader(700, true)).includes_leader,
        "between the two thresholds, a leader that is a member remains one"
    );
    assert!(!choose_members(&candidates, &leader(600, true)).includes_leader);
    let MemberChoice { membership, includes_leader } =
        choose_members(&candidates, &leader(1200, false));
    assert!(includes_leader && membership.contains(&ControllerId::new("leader")));
}

/// Without the limit, two controllers that know different members would redirect a worker back and forth until its
/// lease expires.
#[test]
fn worker_is_redirected_at_most_once_per_interval() {
    let now = Instant::now();
    let (mut redirects, id) = (Redirects::default(), MachineId::new("i-1"));
    assert!(redirects.try_redirect(&id, now));
    redirects.expire(now + REDIRECT_INTERVAL / 2);
    assert!(!redirects.try_redirect(&id, now + REDIRECT_INTERVAL / 2));
    assert!(redirects.try_redirect(&MachineId::new("i-2"), now));
    assert!(redirects.try_redirect(&id, now + REDIRECT_INTERVAL));
}
