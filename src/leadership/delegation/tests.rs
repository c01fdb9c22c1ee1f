use super::*;

fn id() -> MachineId {
    MachineId::new("i-1")
}

#[test]
fn a_follower_answers_only_without_its_leader_and_within_the_grant() {
    let now = Instant::now();
    let mut delegated_lease = DelegatedLease::default();
    assert_eq!(delegated_lease.answer(&id(), FencingToken(0), now), None);
    delegated_lease.take((FencingToken(3), 1), (vec![], vec![]), true, now, now);
    assert_eq!(delegated_lease.answer(&id(), FencingToken(3), now), None);
    assert_eq!(
        delegated_lease.answer(&id(), FencingToken(3), now + DELEGATION_AFTER),
        Some(FencingToken(3))
    );
    assert_eq!(delegated_lease.answer(&id(), FencingToken(4), now + DELEGATION_AFTER), None);
    assert_eq!(delegated_lease.answer(&id(), FencingToken(3), now + DELEGATION_TERM), None);
    delegated_lease.take((FencingToken(3), 2), (vec![id()], vec![id()]), true, now, now);
    assert_eq!(delegated_lease.answer(&id(), FencingToken(3), now + DELEGATION_AFTER), None);
    // A machine that is lent is answered at once.
    delegated_lease.take((FencingToken(3), 3), (vec![], vec![id()]), true, now, now);
    assert_eq!(delegated_lease.answer(&id(), FencingToken(3), now), Some(FencingToken(3)));
}

/// Whatever a follower does with what reaches it, it never answers later than the leader
/// reckons. Messages are lost and delayed at random.
#[test]
fn the_leader_s_bound_holds_under_loss_and_delay() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let peer = ControllerId::new("b");
    for seed in 0..300 {
        let random = &mut StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut delegations = Delegations::new(FencingToken(1), [peer.clone()].into_iter(), start);
        let mut delegated_lease = DelegatedLease::default();
        let mut revoked_since = None;
        let mut to_leader = Vec::new();
        let mut to_follower = Vec::new();
        let mut last: Option<Instant> = None;
        for step in 0..400u64 {
            let now = start + Duration::from_millis(step * 250);
            let delay =
                |random: &mut StdRng| now + Duration::from_millis(random.random_range(0..4000));
            if random.random_range(0..3) > 0 {
                let due = delay(random);
                to_leader.push((
                    due,
                    now,
                    delegated_lease.ack(),
                    delegated_lease.answered_for_leader(now),
                ));
            }
            if random.random_range(0..20) == 0 {
                revoked_since = match revoked_since {
                    None => Some(delegations.number + 1),
                    Some(_) => None,
                };
            }
            let arrived = |due: &Instant| *due <= now;
            for (_, asked, ack, answered_for_leader) in to_leader.extract_if(.., |m| arrived(&m.0))
            {
                delegations.on_peer_status(
                    &peer,
                    ack,
                    now - start + DELEGATION_TERM,
                    &answered_for_leader,
                    true,
                    now,
                );
                delegations.number += 1;
                let revoked = revoked_since.map(|_| id()).into_iter().collect();
                let Some(PeerMessage::LeaseGrant { number, revoked, delegated, .. }) =
                    delegations.give(&peer, 0, (revoked, vec![id()]), now)
                else {
                    panic!()
                };
                if random.random_range(0..3) > 0 {
                    to_follower.push((delay(random), asked, number, revoked, delegated));
                }
            }
            for (_, asked, number, revoked, delegated) in
                to_follower.extract_if(.., |m| arrived(&m.0))
            {
                delegated_lease.take(
                    (FencingToken(1), number),
                    (revoked, delegated),
                    step % 2 == 0,
                    asked,
                    now,
                );
            }
            if delegated_lease.answer(&id(), FencingToken(1), now).is_some() {
                last = Some(now);
            }
            let bound = delegations.answered_until(&id(), revoked_since);
            assert!(last.is_none_or(|at| Some(at) <= bound), "seed {seed} step {step}");
        }
    }
}
