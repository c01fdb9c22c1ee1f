use super::*;
use crate::controller::TICK_MOST;
use crate::store::Versioned;

fn loaded() -> Cache {
    Cache { loaded: true, ..Cache::new(16_384) }
}

fn leader(now: Instant) -> (Election, Cache, Instant) {
    let mut cache = loaded();
    let mut election = Election::new(ControllerId::new("a"), 2, 0, now);
    let now = now + PLEDGE * 2;
    let call = election.poll(&cache, false, now).remove(0);
    let reply = StoreResponse::LeaseGranted(LeaseId(7));
    let (mut calls, _) = election.on_response(&call, now, &reply, &cache, now);
    let reply = StoreResponse::Committed(Revision(3));
    let (_, event) = election.on_response(&calls.remove(0), now, &reply, &cache, now);
    assert_eq!(event, Some(ElectionEvent::Won(FencingToken(1))));
    let record = LeaderRecord { controller: ControllerId::new("a"), token: FencingToken(1) };
    cache.leader = Some(Versioned::new(record, Revision(3)));
    cache.token = Versioned::new(FencingToken(1), Revision(3));
    (election, cache, now)
}

/// A controller without peers, and the transaction by which it campaigns.
fn alone(cache: &Cache, now: Instant) -> (Election, StoreRequest) {
    let mut election = Election::new(ControllerId::new("a"), 0, 0, now);
    let call = election.poll(cache, false, now).remove(0);
    let reply = StoreResponse::LeaseGranted(LeaseId(7));
    let (mut calls, _) = election.on_response(&call, now, &reply, cache, now);
    (election, calls.remove(0))
}

#[test]
fn authority_counts_from_when_the_renewal_was_sent_and_ends_before_the_lease() {
    let (mut election, cache, now) = leader(Instant::now());
    let call = election.poll(&cache, false, now).remove(0);
    let late = now + Duration::from_secs(1);
    election.on_response(&call, now, &StoreResponse::Done, &cache, late);
    assert!(election.may_act(true, now + LEADER_LEASE - LEASE_MARGIN * 2));
    assert!(!election.may_act(true, now + LEADER_LEASE - LEASE_MARGIN));
}

#[test]
fn in_an_outage_it_takes_every_peer_s_pledge_and_each_runs_out() {
    let (mut election, _, now) = leader(Instant::now());
    let late = now + LEADER_LEASE * 2;
    election.pledged_by(&ControllerId::new("b"), late);
    assert!(!election.may_act(true, late));
    election.pledged_by(&ControllerId::new("c"), late);
    assert!(election.may_act(true, late));
    assert!(!election.may_act(true, late + PLEDGE));
}

#[test]
fn whoever_pledged_or_was_restarted_does_not_campaign_until_it_runs_out() {
    let now = Instant::now();
    let mut cache = loaded();
    let record = LeaderRecord { controller: ControllerId::new("a"), token: FencingToken(1) };
    cache.leader = Some(Versioned::new(record, Revision(3)));
    cache.token = Versioned::new(FencingToken(1), Revision(3));
    let mut follower = Election::new(ControllerId::new("b"), 2, 0, now);
    cache.leader = cache.leader.take();
    assert!(follower.pledge(FencingToken(1), &cache, true, now + PLEDGE));
    cache.leader = None;
    assert!(follower.poll(&cache, false, now + PLEDGE * 2 - TICK_MOST).is_empty());
    // A leader whose key is seen to be gone gets no further promise.
    assert!(!follower.pledge(FencingToken(1), &cache, true, now + PLEDGE));
    assert_eq!(follower.poll(&cache, false, now + PLEDGE * 2 + TICK_MOST).len(), 1);
    // With a campaign under way it gets none either.
    assert!(!follower.pledge(FencingToken(1), &cache, true, now + PLEDGE * 2 + TICK_MOST));
    let mut restarted = Election::new(ControllerId::new("c"), 2, 0, now);
    assert!(restarted.poll(&cache, false, now + PLEDGE - TICK_MOST).is_empty());
}

#[test]
fn a_controller_that_is_alone_leads_on_through_an_outage() {
    let now = Instant::now();
    let cache = loaded();
    let (mut election, commit) = alone(&cache, now);
    assert!(!election.may_act(true, now));
    let reply = StoreResponse::Committed(Revision(3));
    election.on_response(&commit, now, &reply, &cache, now);
    assert!(election.may_act(true, now + LEADER_LEASE * 5));
}

#[test]
fn a_campaign_without_a_verdict_is_settled_by_ending_its_lease() {
    let now = Instant::now();
    let cache = loaded();
    let (mut election, commit) = alone(&cache, now);
    election.on_response(&commit, now, &StoreResponse::Unknown, &cache, now);
    let calls = election.poll(&cache, false, now);
    assert!(matches!(calls[..], [StoreRequest::RevokeLease(LeaseId(7))]));
    election.on_response(&calls[0], now, &StoreResponse::Done, &cache, now);
    assert!(election.poll(&cache, false, now).is_empty());
    assert_eq!(election.poll(&cache, false, now + RETRY_PAUSE * 2).len(), 1);
}

/// A pledge says that the leader knows of all that was cancelled. Each way in which its giver can't know that:
/// it has read nothing since it started, the leader's heartbeat is gone, or its key is another's.
#[test]
fn a_pledge_is_given_only_by_who_has_read_that_the_leader_still_stands() {
    let now = Instant::now();
    let known = |loaded: bool, key: u64| Cache {
        loaded,
        leader: Some(Versioned::new(
            LeaderRecord { controller: ControllerId::new("a"), token: FencingToken(key) },
            Revision(3),
        )),
        token: Versioned::new(FencingToken(key), Revision(3)),
        ..Cache::new(16_384)
    };
    let pledges = |cache: &Cache, shown: bool| {
        let mut election = Election::new(ControllerId::new("b"), 2, 0, now);
        election.pledge(FencingToken(4), cache, shown, now)
    };
    assert!(pledges(&known(true, 4), true));
    assert!(!pledges(&known(false, 4), true), "it has read nothing");
    assert!(!pledges(&Cache::new(16_384), true), "it has just started");
    assert!(!pledges(&known(true, 4), false), "the heartbeat is gone");
    assert!(!pledges(&known(true, 5), true), "another leads");
    let none = Cache { leader: None, ..known(true, 4) };
    assert!(!pledges(&none, true), "the leader's key is gone");
    // Whatever it has read is older than that leader, who has read all of it.
    assert!(pledges(&known(true, 3), false));
}

/// Pledges let a leader act in an outage only as long as it knows of what was cancelled before.
#[test]
fn a_leader_that_may_lack_news_does_not_act_by_pledges() {
    let (mut election, _, now) = leader(Instant::now());
    let later = now + LEADER_LEASE * 2;
    for peer in ["b", "c"] {
        election.pledged_by(&ControllerId::new(peer), later);
    }
    let later = later + Duration::from_millis(100);
    assert!(election.may_act(true, later));
    assert!(!election.may_act(false, later));
}
