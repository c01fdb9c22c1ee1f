use super::{
    DelegatedLease, Delegations, FollowerStatus, GrantId, GrantedMachines, PEER_UNREACHABLE_AFTER,
};
use crate::constants::DELEGATED_LEASE_TTL;
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::mesh::PeerMessage;
use crate::peers::message_route::MessageRoute;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

fn machine() -> MachineId {
    MachineId::new("i-1")
}

fn grant_id(token: u64, number: u64) -> GrantId {
    GrantId { token: FencingToken(token), number }
}

/// Records a grant with fencing token 3 that arrived directly from the leader.
fn record(
    lease: &mut DelegatedLease,
    number: u64,
    revoked: Vec<MachineId>,
    delegated: Vec<MachineId>,
    now: Instant,
) {
    let machines = GrantedMachines { revoked, delegated };
    lease.record_grant(grant_id(3, number), machines, MessageRoute::Direct, now, now);
}

#[test]
fn follower_answers_only_while_its_leader_is_unreachable_and_the_grant_is_valid() {
    let now = Instant::now();
    let later = now + PEER_UNREACHABLE_AFTER;
    let token = FencingToken(3);
    let mut lease = DelegatedLease::default();
    assert_eq!(lease.answer(&machine(), FencingToken(0), now), None);
    record(&mut lease, 1, vec![], vec![], now);
    assert_eq!(lease.answer(&machine(), token, now), None);
    assert_eq!(lease.answer(&machine(), token, later), Some(token));
    assert_eq!(lease.answer(&machine(), FencingToken(4), later), None);
    assert_eq!(lease.answer(&machine(), token, now + DELEGATED_LEASE_TTL), None);
    record(&mut lease, 2, vec![machine()], vec![machine()], now);
    assert_eq!(lease.answer(&machine(), token, later), None);
    // A delegated machine is answered even though the leader is reachable.
    record(&mut lease, 3, vec![], vec![machine()], now);
    assert_eq!(lease.answer(&machine(), token, now), Some(token));
}

/// Status that has not reached the leader yet.
struct StatusInFlight {
    due: Instant,
    sent_at: Instant,
    acknowledged: GrantId,
    answered_for_leader: Vec<(MachineId, u64)>,
}

/// Grant that has not reached the follower yet.
struct GrantInFlight {
    due: Instant,
    requested_at: Instant,
    id: GrantId,
    machines: GrantedMachines,
}

/// The leader must never consider a machine's lease expired while a follower still answers that machine. Random loss
/// and delay of statuses and grants must not let a follower answer later than the leader's bound.
#[test]
fn follower_never_answers_after_the_leader_s_bound_under_message_loss_and_delay() {
    let peer = ControllerId::new("b");
    for seed in 0..300 {
        let random = &mut StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut delegations = Delegations::new(FencingToken(1), [peer.clone()].into_iter(), start);
        let mut lease = DelegatedLease::default();
        let mut revoked_since = None;
        let mut last_number = 0;
        let mut to_leader: Vec<StatusInFlight> = Vec::new();
        let mut to_follower: Vec<GrantInFlight> = Vec::new();
        let mut last_answer: Option<Instant> = None;
        for step in 0..400u64 {
            let now = start + Duration::from_millis(step * 250);
            let delay =
                |random: &mut StdRng| now + Duration::from_millis(random.random_range(0..4000));
            if random.random_range(0..3) > 0 {
                to_leader.push(StatusInFlight {
                    due: delay(random),
                    sent_at: now,
                    acknowledged: lease.acknowledged(),
                    answered_for_leader: lease.answered_for_leader(now),
                });
            }
            if random.random_range(0..20) == 0 {
                revoked_since = match revoked_since {
                    None => Some(last_number + 1),
                    Some(_) => None,
                };
            }
            for status in to_leader.extract_if(.., |status| status.due <= now) {
                let follower = FollowerStatus {
                    acknowledged: status.acknowledged,
                    uptime: now - start + DELEGATED_LEASE_TTL,
                    answered_for_leader: &status.answered_for_leader,
                    route: MessageRoute::Direct,
                };
                delegations.record_status(&peer, &follower, now);
                last_number = delegations.next_number();
                let machines = GrantedMachines {
                    revoked: revoked_since.map(|_| machine()).into_iter().collect(),
                    delegated: vec![machine()],
                };
                let Some(PeerMessage::LeaseGrant { token, number, revoked, delegated, .. }) =
                    delegations.grant(&peer, 0, machines, now)
                else {
                    panic!()
                };
                if random.random_range(0..3) > 0 {
                    to_follower.push(GrantInFlight {
                        due: delay(random),
                        requested_at: status.sent_at,
                        id: GrantId { token, number },
                        machines: GrantedMachines { revoked, delegated },
                    });
                }
            }
            let route = if step % 2 == 0 { MessageRoute::Direct } else { MessageRoute::Store };
            for grant in to_follower.extract_if(.., |grant| grant.due <= now) {
                lease.record_grant(grant.id, grant.machines, route, grant.requested_at, now);
            }
            if lease.answer(&machine(), FencingToken(1), now).is_some() {
                last_answer = Some(now);
            }
            let bound = delegations.latest_possible_answer(&machine(), revoked_since);
            assert!(last_answer.is_none_or(|at| Some(at) <= bound), "seed {seed} step {step}");
        }
    }
}

/// Follower that restarts at random, with the start of its process.
struct RestartingFollower {
    lease: DelegatedLease,
    started_at: Instant,
}

impl RestartingFollower {
    fn new(now: Instant) -> RestartingFollower {
        RestartingFollower { lease: DelegatedLease::default(), started_at: now }
    }
}

/// Status of a restarting follower that has not reached the leader yet.
struct TimedStatus {
    due: Instant,
    sent_at: Instant,
    uptime: Duration,
    acknowledged: GrantId,
    answered_for_leader: Vec<(MachineId, u64)>,
}

/// A restart discards the answers that were not reported yet, and a copy of a status from before it arrives after it.
#[test]
fn late_status_from_before_a_restart_does_not_move_the_bound_back() {
    let peer = ControllerId::new("b");
    for seed in 0..300 {
        let random = &mut StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut delegations = Delegations::new(FencingToken(1), [peer.clone()].into_iter(), start);
        let mut follower = RestartingFollower::new(start);
        let mut revoked_since = None;
        let mut to_leader: Vec<TimedStatus> = Vec::new();
        let mut last_answer: Option<Instant> = None;
        for step in 0..400u64 {
            let now = start + Duration::from_millis(step * 250);
            // It restarts about when the machine is revoked, so that some of its last answers are never reported.
            if step % 64 == 30 + seed % 6 {
                follower = RestartingFollower::new(now);
            }
            let sent = if step % 2 == 0 { random.random_range(1..3) } else { 0 };
            for copy in 0..sent {
                let delay_ms = random.random_range(0..400) + copy * random.random_range(0..9000);
                to_leader.push(TimedStatus {
                    due: now + Duration::from_millis(delay_ms),
                    sent_at: now,
                    uptime: now - follower.started_at,
                    acknowledged: follower.lease.acknowledged(),
                    answered_for_leader: follower.lease.answered_for_leader(now),
                });
            }
            for status in to_leader.extract_if(.., |status| status.due <= now) {
                let received = FollowerStatus {
                    acknowledged: status.acknowledged,
                    uptime: status.uptime,
                    answered_for_leader: &status.answered_for_leader,
                    route: MessageRoute::Direct,
                };
                delegations.record_status(&peer, &received, now);
                let number = delegations.next_number();
                let is_revoked = step / 32 % 2 == 1;
                revoked_since = if is_revoked { revoked_since.or(Some(number)) } else { None };
                let machines = GrantedMachines {
                    revoked: revoked_since.map(|_| machine()).into_iter().collect(),
                    delegated: vec![machine()],
                };
                let id = GrantId { token: FencingToken(1), number };
                delegations.grant(&peer, 0, machines.clone(), now);
                if status.sent_at >= follower.started_at {
                    let route = MessageRoute::Direct;
                    follower.lease.record_grant(id, machines, route, status.sent_at, now);
                }
            }
            if follower.lease.answer(&machine(), FencingToken(1), now).is_some() {
                last_answer = Some(now);
            }
            let bound = delegations.latest_possible_answer(&machine(), revoked_since);
            assert!(last_answer.is_none_or(|at| Some(at) <= bound), "seed {seed} step {step}");
        }
    }
}
