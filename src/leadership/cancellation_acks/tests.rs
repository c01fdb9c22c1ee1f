use super::CancellationAcks;
use crate::ids::{ControllerId, JobId, LeaseId, Revision};
use crate::leadership::controller_lease::{
    CONTROLLER_LEASE_TTL, ControllerLease, controller_lease_key,
};
use crate::schema::records::{self, FORMAT, VersionRecord};
use crate::schema::{encoding, keys};
use crate::store::{Cache, StoreRequest, StoreResponse, Versioned};
use crate::wire::{Precondition, Write};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

const LEASE_S: f64 = 14.0;
const CANCEL_S: f64 = 32.0;

const VERSION: VersionRecord = VersionRecord { format: FORMAT, legacy_chunk_tasks: 16 };

/// The lease key as the store holds it.
#[derive(Clone, Copy)]
struct LeaseKey {
    revision: u64,
    lease: LeaseId,
}

/// The store, as far as one controller's lease key and one job are concerned.
#[derive(Default)]
struct Store {
    revision: u64,
    key: Option<LeaseKey>,
    /// Revision of the controller's version key, which never goes away.
    version_revision: u64,
    lease_expiries: Vec<Instant>,
    cancelled: Option<Instant>,
}

impl Store {
    fn expire_leases(&mut self, now: Instant) {
        self.key = self.key.filter(|key| self.lease_expiries[key.lease.0 as usize] > now);
    }

    fn key_revision(&self) -> Revision {
        Revision(self.key.map_or(0, |key| key.revision))
    }

    fn fulfils(&self, preconditions: &[Precondition]) -> bool {
        let version_key = keys::version_key(&ControllerId::new("f"));
        let revision = |key: &str| {
            if key == version_key { Revision(self.version_revision) } else { self.key_revision() }
        };
        preconditions.iter().all(|precondition| precondition.rev == revision(&precondition.key))
    }

    /// What a request of the controller does here.
    fn execute(&mut self, request: &StoreRequest, now: Instant) -> StoreResponse {
        match request {
            StoreRequest::GrantLease(life) => {
                self.lease_expiries.push(now + *life);
                StoreResponse::LeaseGranted(LeaseId(self.lease_expiries.len() as u64 - 1))
            }
            StoreRequest::KeepAlive(lease) if self.lease_expiries[lease.0 as usize] > now => {
                self.lease_expiries[lease.0 as usize] = now + CONTROLLER_LEASE_TTL;
                StoreResponse::Done
            }
            StoreRequest::Commit(transaction) if self.fulfils(&transaction.preconditions) => {
                let Write::Put { lease: Some(lease), .. } = &transaction.writes[0] else {
                    panic!()
                };
                self.revision += 1;
                self.key = Some(LeaseKey { revision: self.revision, lease: *lease });
                self.version_revision = self.revision;
                StoreResponse::Committed(Revision(self.revision))
            }
            StoreRequest::Commit(_) => StoreResponse::Conflict(vec![]),
            _ => StoreResponse::Gone,
        }
    }

    /// What a cache that has read the store shows.
    fn show(&self, cache: &mut Cache, controller: &ControllerId) {
        match self.key {
            Some(key) => cache.controller_leases.insert(controller.clone(), Revision(key.revision)),
            None => cache.controller_leases.remove(controller),
        };
        let version = Versioned::new(VERSION, Revision(self.version_revision));
        cache.versions.insert(controller.clone(), version);
    }
}

/// A controller that may answer workers, in one of its incarnations.
struct Follower {
    lease: ControllerLease,
    cache: Cache,
    acknowledged: bool,
    knows_cancellation: bool,
    synced_at: Option<Instant>,
}

impl Follower {
    fn started(name: &ControllerId, now: Instant) -> Follower {
        Follower {
            lease: ControllerLease::new(name, now),
            cache: Cache::new(16),
            acknowledged: false,
            knows_cancellation: false,
            synced_at: None,
        }
    }
}

/// When in a day the store is cut off from the follower, and the follower restarted: steps of 100 ms.
struct Troubles {
    /// Mostly the cut comes about when the user asks.
    asks_from: u64,
    restart: u64,
    cut_at: u64,
    /// The store is there again from `back` to `again`, just when whoever saw the lease gone for long commits.
    back: u64,
    again: u64,
}

impl Troubles {
    fn random(random: &mut StdRng) -> Troubles {
        let asks_from = random.random_range(80..140);
        // In half of the days it is restarted just when the user asks, and cut off soon after.
        let (restart, cut_at) = if random.random() {
            let restart = asks_from + random.random_range(1..8);
            (restart, restart + random.random_range(1..25))
        } else {
            (0, asks_from + random.random_range(0..40))
        };
        let (back, again) = if random.random_range(0..3) == 0 {
            let back = cut_at + random.random_range(290..340);
            (back, back + random.random_range(3..40))
        } else {
            (u64::MAX, u64::MAX)
        };
        Troubles { asks_from, restart, cut_at, back, again }
    }

    fn steps(&self) -> u64 {
        if self.back < u64::MAX { 1200 } else { 700 }
    }
}

/// A message or transaction that arrives at some time.
struct InFlight<T> {
    due: Instant,
    content: T,
}

impl<T> InFlight<T> {
    fn random(content: T, now: Instant, random: &mut StdRng) -> InFlight<T> {
        let late = random.random_range(0..4) == 0;
        let delay_ms = random.random_range(0..if late { 15_000 } else { 300 });
        InFlight { due: now + Duration::from_millis(delay_ms), content }
    }
}

/// A day in which a user cancels a job while a follower may answer workers without the store.
struct Day {
    name: ControllerId,
    job: JobId,
    random: StdRng,
    troubles: Troubles,
    store: Store,
    follower: Follower,
    cut: bool,
    /// The restarted follower asks for a lease from this step on only.
    keeps_lease_from: u64,
    cache: Cache,
    acks: CancellationAcks,
    ack_requests: Vec<InFlight<u64>>,
    ack_responses: Vec<InFlight<(u64, Revision)>>,
    commits: Vec<InFlight<Vec<Precondition>>>,
    last_blind_answer: Option<Instant>,
}

impl Day {
    fn new(seed: u64, start: Instant) -> Day {
        let mut random = StdRng::seed_from_u64(seed);
        let troubles = Troubles::random(&mut random);
        let (name, job) = (ControllerId::new("f"), JobId::new("wk-1"));
        let mut cache = Cache::new(16);
        cache.loaded = true;
        cache.versions.insert(name.clone(), Versioned::new(VERSION, Revision(1)));
        let spec = std::sync::Arc::new(crate::jobs::fixtures::job_spec("wk-1", 2));
        let record = encoding::to_value(&records::JobRecord::live(1, Some(spec)));
        cache.jobs.apply_record(job.clone(), &record, Revision(2));
        Day {
            store: Store { revision: 1, version_revision: 1, ..Store::default() },
            follower: Follower::started(&name, start),
            cut: false,
            keeps_lease_from: 0,
            cache,
            acks: CancellationAcks::new(vec![name.clone()], LEASE_S, CANCEL_S),
            ack_requests: Vec::new(),
            ack_responses: Vec::new(),
            commits: Vec::new(),
            last_blind_answer: None,
            name,
            job,
            random,
            troubles,
        }
    }

    fn step(&mut self, step: u64, now: Instant) {
        self.store.expire_leases(now);
        self.update_cut(step);
        if step == self.troubles.restart {
            self.follower = Follower::started(&self.name, now);
            self.keeps_lease_from = step + self.random.random_range(0..20);
        }
        if !self.cut {
            self.follower_uses_store(step, now);
        }
        // It answers a worker, if it may, and stops what it knows of.
        let follower = &self.follower;
        let may_answer =
            follower.lease.may_answer_until(follower.synced_at).is_some_and(|until| now < until);
        if self.cut && may_answer && !follower.knows_cancellation && !follower.acknowledged {
            self.last_blind_answer = Some(now);
        }
        // We see the store late, ask, and commit what the preconditions allow, perhaps late.
        if self.random.random_range(0..4) == 0 {
            self.store.show(&mut self.cache, &self.name);
        }
        self.acks.observe(&self.cache, now);
        if step >= self.troubles.asks_from && self.store.cancelled.is_none() {
            self.cancel(step, now);
        }
        self.deliver(now);
    }

    fn update_cut(&mut self, step: u64) {
        match self.random.random_range(0..500) {
            0..4 if step > 60 => self.cut = true,
            4 if step > 400 => self.cut = false,
            _ => {}
        }
        let troubles = &self.troubles;
        self.cut = (self.cut && step != troubles.back)
            || step == troubles.cut_at
            || step == troubles.again;
    }

    fn follower_uses_store(&mut self, step: u64, now: Instant) {
        let (store, follower) = (&mut self.store, &mut self.follower);
        store.show(&mut follower.cache, &self.name);
        if step >= self.keeps_lease_from
            && let Some(request) = follower.lease.next_request(&follower.cache, now)
        {
            let response = store.execute(&request, now);
            let lost = self.random.random_range(0..10) == 0;
            let response = if lost { StoreResponse::Unknown } else { response };
            follower.lease.on_response(&request, now, &response, now);
        }
        if self.random.random_range(0..5) == 0 {
            follower.synced_at = Some(now);
            follower.knows_cancellation |= store.cancelled.is_some();
        }
    }

    fn cancel(&mut self, step: u64, now: Instant) {
        match self.acks.preconditions(&self.job, &self.cache, |_| None, now) {
            Ok(preconditions) => {
                // The user asks again after a while.
                self.troubles.asks_from = step + 20;
                self.commits.push(InFlight::random(preconditions, now, &mut self.random));
            }
            Err(_) => {
                self.acks.record_request(step, now);
                self.ack_requests.push(InFlight::random(step, now, &mut self.random));
            }
        }
    }

    fn deliver(&mut self, now: Instant) {
        for request in self.ack_requests.extract_if(.., |request| request.due <= now) {
            if !self.cut {
                self.follower.acknowledged = true;
                let ack = (request.content, self.follower.lease.revision());
                self.ack_responses.push(InFlight::random(ack, now, &mut self.random));
            }
        }
        for response in self.ack_responses.extract_if(.., |response| response.due <= now) {
            let (seq, lease_revision) = response.content;
            let jobs = std::slice::from_ref(&self.job);
            self.acks.record_ack(&self.name, seq, lease_revision, jobs);
        }
        for commit in self.commits.extract_if(.., |commit| commit.due <= now) {
            if self.store.fulfils(&commit.content) && self.store.cancelled.is_none() {
                self.store.cancelled = Some(now);
            }
        }
    }
}

/// Cuts, restarts, lost and late messages at random: whatever another controller answers without
/// knowing of the cancellation is gone when the user's time is over, and cancellations happen.
#[test]
fn nothing_answered_without_news_outlives_a_cancellation() {
    let mut cancelled = 0;
    for seed in 0..3000 {
        let start = Instant::now();
        let mut day = Day::new(seed, start);
        for step in 0..day.troubles.steps() {
            day.step(step, start + Duration::from_millis(step * 100));
        }
        if let Some(cancelled_at) = day.store.cancelled {
            cancelled += 1;
            let gone = day.last_blind_answer.map(|at| at + Duration::from_secs_f64(LEASE_S));
            let due = cancelled_at + Duration::from_secs_f64(CANCEL_S);
            assert!(
                gone.is_none_or(|gone| gone <= due),
                "seed {seed}: {:?}",
                gone.map(|gone| gone - due)
            );
        }
    }
    assert!(cancelled > 2500, "{cancelled}");
}

/// A transaction may be applied minutes late. Between, the other controller had a lease and lost it again, or the
/// sender was restarted and remembers nothing: in both cases it has to find a precondition failed.
#[test]
fn a_late_cancellation_finds_that_a_controller_has_had_a_lease_since() {
    let (me, peer, id) = (ControllerId::new("me"), ControllerId::new("f"), JobId::new("wk-1"));
    let now = Instant::now();
    let mut cache = Cache::new(16);
    cache.loaded = true;
    cache.versions.insert(peer.clone(), Versioned::new(VERSION, Revision(5)));
    let mut acks = CancellationAcks::new(vec![peer.clone()], LEASE_S, CANCEL_S);
    acks.set_own_lease(&held_lease(&me, Revision(7), now));
    acks.observe(&cache, now);
    let later = now + Duration::from_secs(60);
    let preconditions = acks.preconditions(&id, &cache, |_| None, later).unwrap();
    let keys = [controller_lease_key(&me), controller_lease_key(&peer), keys::version_key(&peer)];
    let holds = |revisions: [u64; 3]| {
        let revision =
            |key: &String| keys.iter().position(|known| known == key).map(|at| revisions[at]);
        preconditions.iter().all(|guard| revision(&guard.key) == Some(guard.rev.0))
    };
    assert!(holds([7, 0, 5]), "{preconditions:?}");
    assert!(!holds([7, 9, 9]), "it has a lease");
    assert!(!holds([7, 0, 9]), "it had a lease meanwhile");
    assert!(!holds([11, 0, 5]), "the sender was restarted");
}

/// A controller's lease whose key was written at that revision.
fn held_lease(name: &ControllerId, revision: Revision, now: Instant) -> ControllerLease {
    let mut cache = Cache::new(16);
    cache.versions.insert(name.clone(), Versioned::new(VERSION, Revision(1)));
    let mut lease = ControllerLease::new(name, now);
    for response in [StoreResponse::LeaseGranted(LeaseId(1)), StoreResponse::Committed(revision)] {
        let request = lease.next_request(&cache, now).unwrap();
        lease.on_response(&request, now, &response, now);
    }
    lease
}
