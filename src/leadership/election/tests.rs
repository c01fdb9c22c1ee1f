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

/// Returns the elected leader of three controllers, its cache, and the time of the election.
fn leader(now: Instant) -> (Election, Cache, Instant) {
    let mut cache = loaded_cache();
    let mut election = Election::new(ControllerId::new("a"), 2, 0, now);
    let now = now + LEASE_EXTENSION * 2;
    let commit = become_candidate(&mut election, &cache, now);
    let response = StoreResponse::Committed(Revision(3));
    let step = election.on_response(&commit, now, &response, &cache, now);
    let token = FencingToken(0).of_next_leader();
    assert_eq!(step.event, Some(ElectionEvent::Won(token)));
    set_leader(&mut cache, token);
    (election, cache, now)
}

/// Turns a follower into a candidate and returns the transaction of its candidacy.
fn become_candidate(election: &mut Election, cache: &Cache, now: Instant) -> StoreRequest {
    let request = election.next_request(cache, false, now).unwrap();
    let response = StoreResponse::LeaseGranted(LeaseId(7));
    election.on_response(&request, now, &response, cache, now).requests.remove(0)
}

/// Returns a candidate without peers and the transaction of its candidacy.
fn candidate_without_peers(cache: &Cache, now: Instant) -> (Election, StoreRequest) {
    let mut election = Election::new(ControllerId::new("a"), 0, 0, now);
    let commit = become_candidate(&mut election, cache, now);
    (election, commit)
}

#[test]
fn leadership_is_counted_from_sending_the_renewal_and_ends_before_the_lease() {
    let (mut election, cache, now) = leader(Instant::now());
    let request = election.next_request(&cache, false, now).unwrap();
    let received_at = now + Duration::from_secs(1);
    election.on_response(&request, now, &StoreResponse::Done, &cache, received_at);
    assert!(election.holds_leadership(true, now + LEADER_LEASE_TTL - LEASE_SAFETY_MARGIN * 2));
    assert!(!election.holds_leadership(true, now + LEADER_LEASE_TTL - LEASE_SAFETY_MARGIN));
}

#[test]
fn leadership_during_a_store_outage_requires_unexpired_extensions_of_all_peers() {
    let (mut election, _, now) = leader(Instant::now());
    let late = now + LEADER_LEASE_TTL * 2;
    election.record_extension(&ControllerId::new("b"), late);
    assert!(!election.holds_leadership(true, late));
    election.record_extension(&ControllerId::new("c"), late);
    assert!(election.holds_leadership(true, late));
    assert!(!election.holds_leadership(true, late + LEASE_EXTENSION));
}

#[test]
fn controller_that_extended_a_lease_or_restarted_is_no_candidate_until_the_extension_expires() {
    let now = Instant::now();
    let mut cache = loaded_cache();
    set_leader(&mut cache, FencingToken(1));
    let token = FencingToken(1);
    let mut follower = Election::new(ControllerId::new("b"), 2, 0, now);
    assert!(follower.extend_lease(token, &cache, true, now + LEASE_EXTENSION));
    cache.leader = None;
    let expiry = now + LEASE_EXTENSION * 2;
    assert!(follower.next_request(&cache, false, expiry - TICK_MAX).is_none());
    // A leader whose key no longer exists in the cache gets no further extension.
    assert!(!follower.extend_lease(token, &cache, true, now + LEASE_EXTENSION));
    assert!(follower.next_request(&cache, false, expiry + TICK_MAX).is_some());
    // While this controller has a candidacy in progress, it grants no extension either.
    assert!(!follower.extend_lease(token, &cache, true, expiry + TICK_MAX));
    let mut restarted = Election::new(ControllerId::new("c"), 2, 0, now);
    assert!(restarted.next_request(&cache, false, now + LEASE_EXTENSION - TICK_MAX).is_none());
}

#[test]
fn leader_without_peers_keeps_leadership_during_a_store_outage() {
    let now = Instant::now();
    let cache = loaded_cache();
    let (mut election, commit) = candidate_without_peers(&cache, now);
    assert!(!election.holds_leadership(true, now));
    let response = StoreResponse::Committed(Revision(3));
    election.on_response(&commit, now, &response, &cache, now);
    assert!(election.holds_leadership(true, now + LEADER_LEASE_TTL * 5));
}

#[test]
fn candidacy_with_unknown_outcome_revokes_its_lease_before_the_next_candidacy() {
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

/// An extension confirms that the leader knows of every cancellation. A peer cannot confirm this if it has read
/// nothing since it started, if the leader's controller lease has expired, or if the leader key is missing or
/// belongs to another controller.
#[test]
fn lease_extension_requires_a_cache_that_shows_the_requesting_leader() {
    let now = Instant::now();
    let cache_with_token = |loaded: bool, token: u64| {
        let mut cache = Cache { loaded, ..Cache::new(16_384) };
        set_leader(&mut cache, FencingToken(token));
        cache
    };
    let extends = |cache: &Cache, has_controller_lease: bool| {
        let mut election = Election::new(ControllerId::new("b"), 2, 0, now);
        election.extend_lease(FencingToken(4), cache, has_controller_lease, now)
    };
    assert!(extends(&cache_with_token(true, 4), true));
    assert!(!extends(&cache_with_token(false, 4), true), "the cache is not loaded");
    assert!(!extends(&Cache::new(16_384), true), "the process has just started");
    assert!(!extends(&cache_with_token(true, 4), false), "the controller lease has expired");
    assert!(!extends(&cache_with_token(true, 5), true), "another controller leads");
    let without_leader = Cache { leader: None, ..cache_with_token(true, 4) };
    assert!(!extends(&without_leader, true), "the leader key does not exist");
    // Everything in this cache is older than the requesting leader, which has read all of it.
    assert!(extends(&cache_with_token(true, 3), false));
}

/// During a store outage, extensions preserve leadership only if the leader knows of every earlier cancellation.
#[test]
fn leader_that_may_miss_cancellations_loses_leadership_despite_extensions() {
    let (mut election, _, now) = leader(Instant::now());
    let later = now + LEADER_LEASE_TTL * 2;
    for peer in ["b", "c"] {
        election.record_extension(&ControllerId::new(peer), later);
    }
    let later = later + Duration::from_millis(100);
    assert!(election.holds_leadership(true, later));
    assert!(!election.holds_leadership(false, later));
}
