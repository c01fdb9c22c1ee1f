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

/// Lease key of the controller as stored.
#[derive(Clone, Copy)]
struct LeaseKey {
    revision: u64,
    lease: LeaseId,
}

/// Simulated store with the lease key of one controller and the cancellation of one job.
#[derive(Default)]
struct Store {
    revision: u64,
    key: Option<LeaseKey>,
    /// Revision of the controller's version key, which is never removed.
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

    fn satisfies(&self, preconditions: &[Precondition]) -> bool {
        let version_key = keys::version_key(&ControllerId::new("f"));
        let revision = |key: &str| {
            if key == version_key { Revision(self.version_revision) } else { self.key_revision() }
        };
        preconditions.iter().all(|precondition| precondition.rev == revision(&precondition.key))
    }

    /// Executes a request of the controller and returns the response.
    fn execute(&mut self, request: &StoreRequest, now: Instant) -> StoreResponse {
        match request {
            StoreRequest::GrantLease(ttl) => {
                self.lease_expiries.push(now + *ttl);
                StoreResponse::LeaseGranted(LeaseId(self.lease_expiries.len() as u64 - 1))
            }
            StoreRequest::KeepAlive(lease) if self.lease_expiries[lease.0 as usize] > now => {
                self.lease_expiries[lease.0 as usize] = now + CONTROLLER_LEASE_TTL;
                StoreResponse::Done
            }
            StoreRequest::Commit(transaction) if self.satisfies(&transaction.preconditions) => {
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

    /// Brings a cache up to date with the store.
    fn update_cache(&self, cache: &mut Cache, controller: &ControllerId) {
        match self.key {
            Some(key) => cache.controller_leases.insert(controller.clone(), Revision(key.revision)),
            None => cache.controller_leases.remove(controller),
        };
        let version = Versioned::new(VERSION, Revision(self.version_revision));
        cache.versions.insert(controller.clone(), version);
    }
}

/// Process of a controller that may answer workers; a restart replaces it.
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

/// Steps of 100 ms at which the user cancels, the follower restarts, and the follower loses the store.
struct FaultSchedule {
    /// Step from which the user cancels. Most disconnections begin near it.
    cancel_from: u64,
    restart_at: u64,
    disconnect_at: u64,
    /// The store is reachable again from `reconnect_at` to `second_disconnect_at`. At about this time the quarantine
    /// of the follower ends, so the cancellation is committed.
    reconnect_at: u64,
    second_disconnect_at: u64,
}

impl FaultSchedule {
    fn random(random: &mut StdRng) -> FaultSchedule {
        let cancel_from = random.random_range(80..140);
        // In half of the scenarios the follower restarts just after the cancellation and is disconnected soon after.
        let (restart_at, disconnect_at) = if random.random() {
            let restart_at = cancel_from + random.random_range(1..8);
            (restart_at, restart_at + random.random_range(1..25))
        } else {
            (0, cancel_from + random.random_range(0..40))
        };
        let (reconnect_at, second_disconnect_at) = if random.random_range(0..3) == 0 {
            let reconnect_at = disconnect_at + random.random_range(290..340);
            (reconnect_at, reconnect_at + random.random_range(3..40))
        } else {
            (u64::MAX, u64::MAX)
        };
        FaultSchedule { cancel_from, restart_at, disconnect_at, reconnect_at, second_disconnect_at }
    }

    fn steps(&self) -> u64 {
        if self.reconnect_at < u64::MAX { 1200 } else { 700 }
    }
}

/// Message or transaction that arrives at the time `due`.
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

/// Scenario in which a user cancels a job while a follower may answer workers without the store.
struct Scenario {
    name: ControllerId,
    job: JobId,
    random: StdRng,
    faults: FaultSchedule,
    store: Store,
    follower: Follower,
    disconnected: bool,
    /// First step at which a restarted follower requests a lease.
    lease_requests_from: u64,
    cache: Cache,
    acks: CancellationAcks,
    ack_requests: Vec<InFlight<u64>>,
    ack_responses: Vec<InFlight<(u64, Revision)>>,
    commits: Vec<InFlight<Vec<Precondition>>>,
    last_uninformed_answer: Option<Instant>,
}

impl Scenario {
    fn new(seed: u64, start: Instant) -> Scenario {
        let mut random = StdRng::seed_from_u64(seed);
        let faults = FaultSchedule::random(&mut random);
        let (name, job) = (ControllerId::new("f"), JobId::new("wk-1"));
        let mut cache = Cache::new(16);
        cache.loaded = true;
        cache.versions.insert(name.clone(), Versioned::new(VERSION, Revision(1)));
        let spec = std::sync::Arc::new(crate::jobs::fixtures::job_spec("wk-1", 2));
        let record = encoding::to_value(&records::JobRecord::live(1, Some(spec)));
        cache.jobs.apply_record(job.clone(), &record, Revision(2));
        Scenario {
            store: Store { revision: 1, version_revision: 1, ..Store::default() },
            follower: Follower::started(&name, start),
            disconnected: false,
            lease_requests_from: 0,
            cache,
            acks: CancellationAcks::new(vec![name.clone()], LEASE_S, CANCEL_S),
            ack_requests: Vec::new(),
            ack_responses: Vec::new(),
            commits: Vec::new(),
            last_uninformed_answer: None,
            name,
            job,
            random,
            faults,
        }
    }

    fn step(&mut self, step: u64, now: Instant) {
        self.store.expire_leases(now);
        self.update_connection(step);
        if step == self.faults.restart_at {
            self.follower = Follower::started(&self.name, now);
            self.lease_requests_from = step + self.random.random_range(0..20);
        }
        if !self.disconnected {
            self.follower_uses_store(step, now);
        }
        // The follower answers a worker if it may, and would stop the job if it knew of the cancellation.
        let follower = &self.follower;
        let may_answer =
            follower.lease.answer_deadline(follower.synced_at).is_some_and(|until| now < until);
        if self.disconnected && may_answer && !follower.knows_cancellation && !follower.acknowledged
        {
            self.last_uninformed_answer = Some(now);
        }
        // The cancelling controller reads the store late, requests acknowledgements, and commits under the
        // preconditions, perhaps late.
        if self.random.random_range(0..4) == 0 {
            self.store.update_cache(&mut self.cache, &self.name);
        }
        self.acks.observe(&self.cache, now);
        if step >= self.faults.cancel_from && self.store.cancelled.is_none() {
            self.cancel(step, now);
        }
        self.deliver(now);
    }

    fn update_connection(&mut self, step: u64) {
        match self.random.random_range(0..500) {
            0..4 if step > 60 => self.disconnected = true,
            4 if step > 400 => self.disconnected = false,
            _ => {}
        }
        let faults = &self.faults;
        self.disconnected = (self.disconnected && step != faults.reconnect_at)
            || step == faults.disconnect_at
            || step == faults.second_disconnect_at;
    }

    fn follower_uses_store(&mut self, step: u64, now: Instant) {
        let (store, follower) = (&mut self.store, &mut self.follower);
        store.update_cache(&mut follower.cache, &self.name);
        if step >= self.lease_requests_from
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
                // The user cancels again 20 steps later.
                self.faults.cancel_from = step + 20;
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
            if !self.disconnected {
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
            if self.store.satisfies(&commit.content) && self.store.cancelled.is_none() {
                self.store.cancelled = Some(now);
            }
        }
    }
}

/// A follower that does not know of a cancellation must not extend a worker's lease beyond the cancellation's deadline.
/// Disconnections, restarts, and lost or late messages occur at random. Most cancellations must still be committed.
#[test]
fn disconnected_follower_never_extends_a_task_beyond_the_cancellation_deadline() {
    let mut cancelled = 0;
    for seed in 0..3000 {
        let start = Instant::now();
        let mut scenario = Scenario::new(seed, start);
        for step in 0..scenario.faults.steps() {
            scenario.step(step, start + Duration::from_millis(step * 100));
        }
        if let Some(cancelled_at) = scenario.store.cancelled {
            cancelled += 1;
            let stopped_at =
                scenario.last_uninformed_answer.map(|at| at + Duration::from_secs_f64(LEASE_S));
            let due = cancelled_at + Duration::from_secs_f64(CANCEL_S);
            assert!(
                stopped_at.is_none_or(|stopped_at| stopped_at <= due),
                "seed {seed}: {:?}",
                stopped_at.map(|stopped_at| stopped_at - due)
            );
        }
    }
    assert!(cancelled > 2500, "{cancelled}");
}

/// A cancellation may be applied minutes late. In the meantime the other controller may have had a lease and lost it
/// again, or the sender may have restarted and lost its state. In both cases a precondition must fail.
#[test]
fn late_cancellation_fails_after_a_peer_had_a_lease_or_the_sender_restarted() {
    let (me, peer, id) = (ControllerId::new("me"), ControllerId::new("f"), JobId::new("wk-1"));
    let now = Instant::now();
    let mut cache = Cache::new(16);
    cache.loaded = true;
    cache.versions.insert(peer.clone(), Versioned::new(VERSION, Revision(5)));
    let mut acks = CancellationAcks::new(vec![peer.clone()], LEASE_S, CANCEL_S);
    acks.set_own_lease(&controller_lease(&me, Revision(7), now));
    acks.observe(&cache, now);
    let later = now + Duration::from_secs(60);
    let preconditions = acks.preconditions(&id, &cache, |_| None, later).unwrap();
    let keys = [controller_lease_key(&me), controller_lease_key(&peer), keys::version_key(&peer)];
    let satisfied = |revisions: [u64; 3]| {
        let revision =
            |key: &String| keys.iter().position(|known| known == key).map(|at| revisions[at]);
        preconditions
            .iter()
            .all(|precondition| revision(&precondition.key) == Some(precondition.rev.0))
    };
    assert!(satisfied([7, 0, 5]), "{preconditions:?}");
    assert!(!satisfied([7, 9, 9]), "the peer has a lease");
    assert!(!satisfied([7, 0, 9]), "the peer had a lease in the meantime");
    assert!(!satisfied([11, 0, 5]), "the sender was restarted");
}

/// Returns a controller's lease whose key was written at `revision`.
fn controller_lease(name: &ControllerId, revision: Revision, now: Instant) -> ControllerLease {
    let mut cache = Cache::new(16);
    cache.versions.insert(name.clone(), Versioned::new(VERSION, Revision(1)));
    let mut lease = ControllerLease::new(name, now);
    for response in [StoreResponse::LeaseGranted(LeaseId(1)), StoreResponse::Committed(revision)] {
        let request = lease.next_request(&cache, now).unwrap();
        lease.on_response(&request, now, &response, now);
    }
    lease
}
