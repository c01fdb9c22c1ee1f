use super::*;
use crate::schema::records::{self, FORMAT, VersionRecord};
use crate::schema::{encoding, keys};
use crate::store::Versioned;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LEASE_S: f64 = 14.0;
const CANCEL_S: f64 = 32.0;

/// The store, as far as one controller's key and one job are concerned.
#[derive(Default)]
struct Store {
    rev: u64,
    /// Revision of the key, its lease and when that ends.
    key: Option<(u64, u64, Instant)>,
    /// Revision of the controller's version key, which never goes away.
    epoch: u64,
    leases: Vec<Instant>,
    cancelled: Option<Instant>,
}

impl Store {
    fn now(&mut self, now: Instant) {
        self.key = self.key.filter(|(_, lease, _)| self.leases[*lease as usize] > now);
    }
    fn key_rev(&self) -> Revision {
        Revision(self.key.map_or(0, |(rev, ..)| rev))
    }
    fn holds(&self, preconditions: &[Precondition]) -> bool {
        let epoch = keys::version_key(&ControllerId::new("f"));
        let rev = |key: &str| if key == epoch { Revision(self.epoch) } else { self.key_rev() };
        preconditions.iter().all(|guard| guard.rev == rev(&guard.key))
    }
    /// What a call of the controller does here.
    fn call(&mut self, call: &StoreRequest, now: Instant) -> StoreResponse {
        match call {
            StoreRequest::GrantLease(life) => {
                self.leases.push(now + *life);
                StoreResponse::LeaseGranted(LeaseId(self.leases.len() as u64 - 1))
            }
            StoreRequest::KeepAlive(lease) if self.leases[lease.0 as usize] > now => {
                self.leases[lease.0 as usize] = now + HEARTBEAT_LEASE;
                StoreResponse::Done
            }
            StoreRequest::Commit(txn) if self.holds(&txn.preconditions) => {
                let Write::Put { lease: Some(lease), .. } = &txn.writes[0] else { panic!() };
                self.rev += 1;
                self.key = Some((self.rev, lease.0, now));
                self.epoch = self.rev;
                StoreResponse::Committed(Revision(self.rev))
            }
            StoreRequest::Commit(_) => StoreResponse::Conflict(vec![]),
            _ => StoreResponse::Gone,
        }
    }
}

/// A controller that may answer workers, in one of its lives.
struct Other {
    heartbeat: ControllerLease,
    given: bool,
    knows: bool,
    synced: Option<Instant>,
}

/// Cuts, restarts, lost and late messages at random: whatever another controller answers without
/// knowing of the cancellation is gone when the user's time is over, and cancellations happen.
#[test]
fn nothing_answered_without_news_outlives_a_cancellation() {
    let (name, id) = (ControllerId::new("f"), JobId::new("wk-1"));
    let mut cancelled = 0;
    for seed in 0..3000 {
        let random = &mut StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let born = |now| Other {
            heartbeat: ControllerLease::new(&name, now),
            given: false,
            knows: false,
            synced: None,
        };
        let mut store = Store { rev: 1, epoch: 1, ..Store::default() };
        let mut other = born(start);
        let mut cache = Cache::new(16);
        cache.loaded = true;
        let version = VersionRecord { format: FORMAT, legacy_chunk_tasks: 16 };
        cache.versions.insert(name.clone(), Versioned::new(version, Revision(1)));
        let spec = std::sync::Arc::new(crate::jobs::fixtures::job_spec("wk-1", 2));
        let job = encoding::to_value(&records::JobRecord::live(1, Some(spec)));
        cache.jobs.apply_record(id.clone(), &job, Revision(2));
        let mut promises = CancellationAcks::new(vec![name.clone()], LEASE_S, CANCEL_S);
        let (mut to_other, mut to_us, mut commits) = (Vec::new(), Vec::new(), Vec::new());
        let mut last_blind: Option<Instant> = None;
        let mut cut = false;
        // Mostly the cut comes about when the user asks.
        let mut asks_from = random.random_range(80..140);
        // In half of the days it is restarted just when the user asks, and cut off soon after.
        let (restart, cut_at) = if random.random() {
            let restart = asks_from + random.random_range(1..8);
            (restart, restart + random.random_range(1..25))
        } else {
            (0, asks_from + random.random_range(0..40))
        };
        // In others the store is there again for a few seconds, just when whoever saw it gone for long commits.
        let (back, again) = if random.random_range(0..3) == 0 {
            let back = cut_at + random.random_range(290..340);
            (back, back + random.random_range(3..40))
        } else {
            (u64::MAX, u64::MAX)
        };
        // It shows its heartbeat some time after its start only.
        let mut shows_from = 0;
        for step in 0..if back < u64::MAX { 1200 } else { 700u64 } {
            let now = start + Duration::from_millis(step * 100);
            store.now(now);
            match random.random_range(0..500) {
                0..4 if step > 60 => cut = true,
                4 if step > 400 => cut = false,
                _ => {}
            }
            cut = (cut && step != back) || step == cut_at || step == again;
            if step == restart {
                other = born(now);
                shows_from = step + random.random_range(0..20);
            }
            if !cut {
                let seen = store.key_rev();
                if step >= shows_from
                    && let told = Versioned::new(version, Revision(store.epoch))
                    && let Some(call) = other.heartbeat.poll(seen, Some(&told), now)
                {
                    let reply = store.call(&call, now);
                    let lost = random.random_range(0..10) == 0;
                    let reply = if lost { StoreResponse::Unknown } else { reply };
                    other.heartbeat.on_response(&call, now, &reply, now);
                }
                if random.random_range(0..5) == 0 {
                    other.synced = Some(now);
                    other.knows |= store.cancelled.is_some();
                }
            }
            // It answers a worker, if it may, and stops what it knows of.
            let may = other.heartbeat.answers_until(other.synced).is_some_and(|at| now < at);
            if cut && may && !other.knows && !other.given {
                last_blind = Some(now);
            }
            // We see the store late, ask, and commit what the guards allow, perhaps late.
            if random.random_range(0..4) == 0 {
                if let Some((rev, ..)) = store.key {
                    cache.controller_leases.insert(name.clone(), Revision(rev));
                } else {
                    cache.controller_leases.remove(&name);
                }
                cache.versions.insert(name.clone(), Versioned::new(version, Revision(store.epoch)));
            }
            promises.look(&cache, now);
            let delay = |random: &mut StdRng| {
                let late = random.random_range(0..4) == 0;
                now + Duration::from_millis(random.random_range(0..if late { 15_000 } else { 300 }))
            };
            if step >= asks_from && store.cancelled.is_none() {
                match promises.preconditions(&id, &cache, |_| None, now) {
                    Ok(preconditions) => {
                        // The user asks again after a while.
                        asks_from = step + 20;
                        commits.push((delay(random), preconditions));
                    }
                    Err(_) => {
                        promises.ask(step, now);
                        to_other.push((delay(random), step));
                    }
                }
            }
            for (_, seq) in to_other.extract_if(.., |(at, _)| *at <= now) {
                if !cut {
                    other.given = true;
                    to_us.push((delay(random), seq, other.heartbeat.revision()));
                }
            }
            for (_, seq, under) in to_us.extract_if(.., |(at, ..)| *at <= now) {
                promises.promised(&name, seq, under, std::slice::from_ref(&id));
            }
            for (_, preconditions) in commits.extract_if(.., |(at, _)| *at <= now) {
                if store.holds(&preconditions) && store.cancelled.is_none() {
                    store.cancelled = Some(now);
                }
            }
        }
        if let Some(told) = store.cancelled {
            cancelled += 1;
            let gone = last_blind.map(|at| at + Duration::from_secs_f64(LEASE_S));
            let due = told + Duration::from_secs_f64(CANCEL_S);
            assert!(
                gone.is_none_or(|gone| gone <= due),
                "seed {seed}: {:?}",
                gone.map(|g| g - due)
            );
        }
    }
    assert!(cancelled > 2500, "{cancelled}");
}

/// A transaction may be carried out minutes late. Between, the other controller showed a heartbeat and lost it
/// again, or the sender was started anew and remembers nothing: in both cases it has to find a guard changed.
#[test]
fn a_late_cancellation_finds_that_a_controller_has_lived_since() {
    let (me, peer, id) = (ControllerId::new("me"), ControllerId::new("f"), JobId::new("wk-1"));
    let now = Instant::now();
    let mut cache = Cache::new(16);
    cache.loaded = true;
    let version = VersionRecord { format: FORMAT, legacy_chunk_tasks: 16 };
    cache.versions.insert(peer.clone(), Versioned::new(version, Revision(5)));
    let mut promises = CancellationAcks::new(vec![peer.clone()], LEASE_S, CANCEL_S);
    promises.under(heartbeat_key(&me), Revision(7));
    promises.look(&cache, now);
    let later = now + Duration::from_secs(60);
    let preconditions = promises.preconditions(&id, &cache, |_| None, later).unwrap();
    let keys = [heartbeat_key(&me), heartbeat_key(&peer), keys::version_key(&peer)];
    let holds = |revs: [u64; 3]| {
        let now = |key: &String| keys.iter().position(|known| known == key).map(|at| revs[at]);
        preconditions.iter().all(|guard| now(&guard.key) == Some(guard.rev.0))
    };
    assert!(holds([7, 0, 5]), "{preconditions:?}");
    assert!(!holds([7, 9, 9]), "it is there");
    assert!(!holds([7, 0, 9]), "it was there meanwhile");
    assert!(!holds([11, 0, 5]), "the sender was started anew");
}
