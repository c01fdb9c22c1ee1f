use super::{Election, ElectionEvent, LEADER_LEASE_TTL, LEASE_EXTENSION, LEASE_SAFETY_MARGIN};
use crate::constants::RETRY_PAUSE;
use crate::controller::TICK_MAX;
use crate::ids::{ControllerId, FencingToken, LeaseId, Revision};
use crate::store::{Cache, LeaderRecord, StoreRequest, StoreResponse, Versioned};
use std::time::Duration;
use tokio::time::Instant;

fn loaded_cache() -> Cache {
    Cache { loaded: true, ..Cache::new(16_384) }
}

fn set_leader(cache: &mut Cache, token: FencingToken) {
    let record = LeaderRecord { controller: ControllerId::new("a"), token };
    cache.leader = Some(Versioned::new(record, Revision(3)));
    cache.token = Versioned::new(token, Revision(3));
}

/// A controller of three that has been elected.
fn leader(now: Instant) -> (Election, Cache, Instant) {
    let mut cache = loaded_cache();
    let mut election = Election::new(ControllerId::new("a"), 2, 0, now);
    let now = now + LEASE_EXTENSION * 2;
    let commit = become_candidate(&mut election, &cache, now);
    let response = StoreResponse::Committed(Revision(3));
    let step = election.on_response(&commit, now, &response, &cache, now);
    assert_eq!(step.event, Some(ElectionEvent::Won(FencingToken(1))));
    set_leader(&mut cache, FencingToken(1));
    (election, cache, now)
}

/// Lets a follower become a candidate, and returns its transaction.
fn become_candidate(election: &mut Election, cache: &Cache, now: Instant) -> StoreRequest {
    let request = election.next_request(cache, false, now).unwrap();
    let response = StoreResponse::LeaseGranted(LeaseId(7));
    election.on_response(&request, now, &response, cache, now).requests.remove(0)
}

/// A controller without peers, and the transaction of its candidacy.
fn candidate_without_peers(cache: &Cache, now: Instant) -> (Election, StoreRequest) {
    let mut election = Election::new(ControllerId::new("a"), 0, 0, now);
    let commit = become_candidate(&mut election, cache, now);
    (election, commit)
}

#[test]
fn leadership_counts_from_when_the_renewal_was_sent_and_ends_before_the_lease() {
    let (mut election, cache, now) = leader(Instant::now());
    let request = election.next_request(&cache, false, now).unwrap();
    let late = now + Duration::from_secs(1);
    election.on_response(&request, now, &StoreResponse::Done, &cache, late);
    assert!(election.holds_leadership(true, now + LEADER_LEASE_TTL - LEASE_SAFETY_MARGIN * 2));
    assert!(!election.holds_leadership(true, now + LEADER_LEASE_TTL - LEASE_SAFETY_MARGIN));
}

#[test]
fn in_an_outage_leadership_takes_every_peer_s_extension_and_each_expires() {
    let (mut election, _, now) = leader(Instant::now());
    let late = now + LEADER_LEASE_TTL * 2;
    election.record_extension(&ControllerId::new("b"), late);
    assert!(!election.holds_leadership(true, late));
    election.record_extension(&ControllerId::new("c"), late);
    assert!(election.holds_leadership(true, late));
    assert!(!election.holds_leadership(true, late + LEASE_EXTENSION));
}

#[test]
fn a_controller_that_extended_a_lease_or_was_restarted_is_no_candidate_until_it_expires() {
    let now = Instant::now();
    let mut cache = loaded_cache();
    set_leader(&mut cache, FencingToken(1));
    let token = FencingToken(1);
    let mut follower = Election::new(ControllerId::new("b"), 2, 0, now);
    assert!(follower.extend_lease(token, &cache, true, now + LEASE_EXTENSION));
    cache.leader = None;
    let expiry = now + LEASE_EXTENSION * 2;
    assert!(follower.next_request(&cache, false, expiry - TICK_MAX).is_none());
    // A leader whose key is seen to be gone gets no further extension.
    assert!(!follower.extend_lease(token, &cache, true, now + LEASE_EXTENSION));
    assert!(follower.next_request(&cache, false, expiry + TICK_MAX).is_some());
    // With a candidacy under way it gets none either.
    assert!(!follower.extend_lease(token, &cache, true, expiry + TICK_MAX));
    let mut restarted = Election::new(ControllerId::new("c"), 2, 0, now);
    assert!(restarted.next_request(&cache, false, now + LEASE_EXTENSION - TICK_MAX).is_none());
}

#[test]
fn a_controller_without_peers_leads_on_through_an_outage() {
    let now = Instant::now();
    let cache = loaded_cache();
    let (mut election, commit) = candidate_without_peers(&cache, now);
    assert!(!election.holds_leadership(true, now));
    let response = StoreResponse::Committed(Revision(3));
    election.on_response(&commit, now, &response, &cache, now);
    assert!(election.holds_leadership(true, now + LEADER_LEASE_TTL * 5));
}

#[test]
fn a_candidacy_with_an_unknown_outcome_is_settled_by_revoking_its_lease() {
    let now = Instant::now();
    let cache = loaded_cache();
    let (mut election, commit) = candidate_without_peers(&cache, now);
    election.on_response(&commit, now, &StoreResponse::Unknown, &cache, now);
    let request = election.next_request(&cache, false, now).unwrap();
    assert!(matches!(request, StoreRequest::RevokeLease(LeaseId(7))));
    election.on_response(&request, now, &StoreResponse::Done, &cache, now);
    assert!(election.next_request(&cache, false, now).is_none());
    assert!(election.next_request(&cache, false, now + RETRY_PAUSE * 2).is_some());
}

/// An extension says that the leader knows of every cancellation. Each way in which a peer can't know that: it
/// has read nothing since it started, the leader's controller lease is gone, or the leader key is another's.
#[test]
fn a_lease_is_extended_only_by_who_has_read_that_the_leader_still_stands() {
    let now = Instant::now();
    let cache_of = |loaded: bool, token: u64| {
        let mut cache = Cache { loaded, ..Cache::new(16_384) };
        set_leader(&mut cache, FencingToken(token));
        cache
    };
    let extends = |cache: &Cache, has_controller_lease: bool| {
        let mut election = Election::new(ControllerId::new("b"), 2, 0, now);
        election.extend_lease(FencingToken(4), cache, has_controller_lease, now)
    };
    assert!(extends(&cache_of(true, 4), true));
    assert!(!extends(&cache_of(false, 4), true), "it has read nothing");
    assert!(!extends(&Cache::new(16_384), true), "it has just started");
    assert!(!extends(&cache_of(true, 4), false), "the controller lease is gone");
    assert!(!extends(&cache_of(true, 5), true), "another leads");
    let without_leader = Cache { leader: None, ..cache_of(true, 4) };
    assert!(!extends(&without_leader, true), "the leader key is gone");
    // Whatever it has read is older than that leader, who has read all of it.
    assert!(extends(&cache_of(true, 3), false));
}

/// Extensions let a leader act in an outage only as long as it knows of every earlier cancellation.
#[test]
fn a_leader_that_may_lack_cancellations_does_not_act_by_extensions() {
    let (mut election, _, now) = leader(Instant::now());
    let later = now + LEADER_LEASE_TTL * 2;
    for peer in ["b", "c"] {
        election.record_extension(&ControllerId::new(peer), later);
    }
    let later = later + Duration::from_millis(100);
    assert!(election.holds_leadership(true, later));
    assert!(!election.holds_leadership(false, later));
}
