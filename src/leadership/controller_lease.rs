//! A controller's heartbeat at the state service, and how long it may answer workers without any.
//!
//! A controller that is cut off from the store may go on answering for its leader, so that the work
//! around it lives; but it can't learn there which jobs are cancelled meanwhile. So each controller
//! keeps a key at the store that lasts as long as its lease ([`ControllerLease`]), and a cancellation is
//! committed only with a guard on that key of every other controller ([`CancellationAcks`]): either that
//! controller promised to stop the job, under just this key, or it has no key, and had none for so
//! long that nothing it answered can outlive the cancellation's time. The proof is in
//! `docs/design.md`, "A cut-off zone".

use crate::constants::{DELEGATION_TERM, DRIFT, FORMAT_HEARTBEAT, RETRY_PAUSE, WORKER_MARGIN};
use crate::ids::{ControllerId, JobId, LeaseId, Revision};
use crate::schema::records::VersionRecord;
use crate::schema::{encoding, keys};
use crate::store::{CONTROLLER_LEASE_PREFIX, Cache, StoreRequest, StoreResponse, Versioned};
use crate::wire::{Precondition, StoreValue, Transaction, Write};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Kept between the last answer on a leader's behalf without news of the store and the time by
/// which a cancelled task must be gone.
pub const DELEGATION_MARGIN: Duration = Duration::from_millis(1500);
/// Life of a controller's heartbeat at the state service.
pub const HEARTBEAT_LEASE: Duration = Duration::from_millis(6000);
/// Pause between two renewals of it: two may fail.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(1800);
/// An answer to such a question that comes later than this counts for nothing.
pub const PROMISE_LATE: Duration = Duration::from_secs(10);

pub fn heartbeat_key(node: &ControllerId) -> String {
    format!("{CONTROLLER_LEASE_PREFIX}{node}")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Absent,
    /// A lease was granted that had been asked for at this time.
    Leased(LeaseId, Instant),
    /// The key is there since this revision, as was known at that time.
    Held(LeaseId, Revision, Instant),
}

/// This controller's own key.
#[derive(Debug)]
pub struct ControllerLease {
    me: ControllerId,
    key: String,
    stage: Stage,
    in_flight: bool,
    due: Instant,
    /// When the newest renewal that was answered had been sent: the key lasts for a lease's life
    /// from then at least, and is gone some time after it.
    renewed: Instant,
}

impl ControllerLease {
    pub fn new(me: &ControllerId, now: Instant) -> ControllerLease {
        let key = heartbeat_key(me);
        let (me, stage) = (me.clone(), Stage::Absent);
        ControllerLease { me, key, stage, in_flight: false, due: now, renewed: now }
    }

    pub fn key(&self) -> &str {
        &self.key
    }

    /// The next call of the store, if one is due. `seen` is the key's revision in the cache, and `version`
    /// what this controller told of the format that it reads: written anew with each new heartbeat. That
    /// key never goes away, so its revision tells an absence from one that came after another life.
    pub fn poll(
        &mut self,
        seen: Revision,
        version: Option<&Versioned<VersionRecord>>,
        now: Instant,
    ) -> Option<StoreRequest> {
        if self.in_flight || now < self.due {
            return None;
        }
        let call = match self.stage {
            Stage::Absent => StoreRequest::GrantLease(HEARTBEAT_LEASE),
            Stage::Leased(lease, _) => {
                let Versioned { value: record, revision: told } = version?;
                let epoch = keys::version_key(&self.me);
                let put = |key: &str, data, lease| Write::Put { key: key.into(), data, lease };
                StoreRequest::Commit(Transaction {
                    preconditions: vec![
                        Precondition { key: self.key.clone(), rev: seen },
                        Precondition { key: epoch.clone(), rev: *told },
                    ],
                    writes: vec![
                        put(&self.key, StoreValue::Bool(true), Some(lease)),
                        put(&epoch, encoding::to_value(record), None),
                    ],
                })
            }
            Stage::Held(lease, ..) => StoreRequest::KeepAlive(lease),
        };
        self.in_flight = true;
        Some(call)
    }

    pub fn on_response(
        &mut self,
        call: &StoreRequest,
        sent: Instant,
        reply: &StoreResponse,
        now: Instant,
    ) {
        self.in_flight = false;
        self.due = now + RETRY_PAUSE * 2;
        match (self.stage, call, reply) {
            (Stage::Absent, StoreRequest::GrantLease(_), StoreResponse::LeaseGranted(lease)) => {
                self.stage = Stage::Leased(*lease, sent);
                self.due = now;
            }
            (
                Stage::Leased(lease, asked),
                StoreRequest::Commit(_),
                StoreResponse::Committed(rev),
            ) => {
                self.stage = Stage::Held(lease, *rev, now);
                self.renewed = asked;
                self.due = now + HEARTBEAT_EVERY;
            }
            // Perhaps there all the same, or an older one is: a new lease and a new look settle it.
            (Stage::Leased(..), StoreRequest::Commit(_), _) => self.stage = Stage::Absent,
            (Stage::Held(..), StoreRequest::KeepAlive(_), StoreResponse::Done) => {
                self.renewed = self.renewed.max(sent);
                self.due = sent + HEARTBEAT_EVERY;
            }
            (Stage::Held(..), StoreRequest::KeepAlive(_), StoreResponse::Gone) => {
                self.stage = Stage::Absent;
                self.due = now;
            }
            _ => {}
        }
    }

    /// Under which revision of the key promises are given.
    pub fn revision(&self) -> Revision {
        match self.stage {
            Stage::Held(_, rev, _) => rev,
            _ => Revision(0),
        }
    }

    /// Whether all that is cancelled while the key stands is known here: what the store held when it was
    /// asked at `synced`, together with promises given since.
    pub fn covers(&self, synced: Option<Instant>) -> bool {
        matches!(self.stage, Stage::Held(_, _, known) if synced.is_some_and(|at| at > known))
    }

    /// Until when workers may be answered with no news of the store: what it held when it was asked
    /// at `synced`, together with promises given since, is all that can be cancelled by then.
    pub fn answers_until(&self, synced: Option<Instant>) -> Option<Instant> {
        self.covers(synced).then(|| self.renewed + DELEGATION_TERM.mul_f64(1.0 - DRIFT))
    }
}

/// Why a cancellation can't be committed yet.
#[derive(Debug, PartialEq, Eq)]
pub enum Missing {
    /// These were asked for their promise and can be expected to answer.
    CancellationAcks(Vec<ControllerId>),
    /// One of them is out of the store's reach, and it would take longer than a user waits.
    Time,
}

/// What is known of another controller's key.
#[derive(Debug, Clone, Copy)]
struct Seen {
    rev: Option<Revision>,
    /// Since when, at the latest, it has been as it is.
    since: Instant,
}

/// What the other controllers promised, and which of them may be out there with no news.
#[derive(Debug)]
pub struct CancellationAcks {
    peers: Vec<ControllerId>,
    /// This controller's own key, and the revision under which it knows what it asked for itself: what an
    /// earlier life of it sent must not be applied once a later one, which doesn't know, answers workers.
    own: Option<Precondition>,
    seen: HashMap<ControllerId, Seen>,
    /// Under which key each promise was given, and when it had been asked for.
    given: BTreeMap<JobId, BTreeMap<ControllerId, (Revision, Instant)>>,
    /// Questions of late, and when each was asked.
    asked: VecDeque<(u64, Instant)>,
    /// What the leader says: under which leader key, and which zones a job may have tasks in. It has
    /// promised as well, and starts none any more.
    placed: BTreeMap<JobId, (Revision, Vec<String>)>,
    /// For so long after its key is gone may tasks live of which a controller alone knows.
    quarantine: Duration,
}

impl CancellationAcks {
    pub fn new(peers: Vec<ControllerId>, lease_s: f64, cancel_s: f64) -> CancellationAcks {
        let (seen, given, asked, placed) = Default::default();
        let quarantine = quarantine(lease_s, cancel_s);
        CancellationAcks { peers, own: None, seen, given, asked, placed, quarantine }
    }

    /// Told under which revision this controller's own key stands, once all show heartbeats.
    pub fn under(&mut self, key: String, rev: Revision) {
        self.own = Some(Precondition { key, rev });
    }

    /// Takes in what the cache says of the others' keys.
    pub fn look(&mut self, cache: &Cache, now: Instant) {
        if !cache.loaded {
            return;
        }
        for peer in &self.peers {
            let rev = cache.controller_leases.get(peer).copied();
            let format = cache.versions.get(peer).map_or(0, |version| version.value.format);
            match self.seen.get_mut(peer) {
                Some(seen) if seen.rev == rev => {}
                Some(seen) => *seen = Seen { rev, since: now },
                // A version that says nothing of keys never had one, nor answers without news.
                None if rev.is_none() && format < FORMAT_HEARTBEAT => {}
                None => drop(self.seen.insert(peer.clone(), Seen { rev, since: now })),
            }
        }
        let live = |id: &JobId| cache.jobs.get(id).is_some_and(|job| job.live().is_some());
        self.given.retain(|id, _| live(id));
        self.placed.retain(|id, _| live(id));
    }

    /// A question of this number goes out.
    pub fn ask(&mut self, seq: u64, now: Instant) {
        self.asked.push_back((seq, now));
        while self.asked.front().is_some_and(|(_, at)| now > *at + PROMISE_LATE) {
            self.asked.pop_front();
        }
    }

    /// The answer to a question; one that the network held back for long counts for nothing.
    pub fn promised(&mut self, from: &ControllerId, seq: u64, under: Revision, jobs: &[JobId]) {
        let Some((_, at)) = self.asked.iter().find(|(asked, _)| *asked == seq) else { return };
        for id in jobs {
            let given = self.given.entry(id.clone()).or_default();
            let promise = given.entry(from.clone()).or_insert((under, *at));
            *promise = (*promise).max((under, *at));
        }
    }

    /// The leader says in which zones a job may have tasks.
    pub fn placed(&mut self, leader: Revision, seq: u64, id: &JobId, zones: Vec<String>) {
        if self.asked.iter().any(|(asked, _)| *asked == seq) {
            self.placed.insert(id.clone(), (leader, zones));
        }
    }

    /// Whether the leader has told where the job's tasks are, so that no answer of its can help more.
    pub fn knows_place(&self, id: &JobId) -> bool {
        self.placed.contains_key(id)
    }

    /// What guards a cancellation of the job: for each other controller its key, or that it has
    /// none. `zone_of` tells where a controller stands.
    pub fn preconditions(
        &self,
        id: &JobId,
        cache: &Cache,
        zone_of: impl Fn(&ControllerId) -> Option<String>,
        now: Instant,
    ) -> Result<Vec<Precondition>, Missing> {
        let mut preconditions: BTreeMap<String, Revision> = BTreeMap::new();
        let (mut asked, mut late) = (Vec::new(), false);
        let given = self.given.get(id);
        let placed = self.placed.get(id).filter(|(leader, _)| {
            cache.leader.as_ref().is_some_and(|known| known.revision == *leader)
        });
        for peer in &self.peers {
            let seen = self.seen.get(peer);
            let rev = seen.and_then(|seen| seen.rev);
            preconditions.insert(heartbeat_key(peer), rev.unwrap_or_default());
            if rev.is_none() {
                // Applied late, it must not take a later absence for this one: a heartbeat in between has
                // written this key, which never goes away.
                let told =
                    cache.versions.get(peer).map(|version| version.revision).unwrap_or_default();
                preconditions.insert(keys::version_key(peer), told);
            }
            let promise = given.and_then(|given| given.get(peer));
            let sure = match rev {
                // It promised under this very key, so it knows the job until the key changes.
                Some(rev) => promise.is_some_and(|(under, _)| *under == rev),
                // Whoever promised after its key was gone is the only one there that had one; what
                // is started anew knows all that is cancelled before it has a key again.
                None => seen.is_none_or(|seen| {
                    now >= seen.since + self.quarantine
                        || promise.is_some_and(|(_, asked)| *asked >= seen.since)
                }),
            };
            if sure {
                continue;
            }
            // Without news it answers the workers of its own zone only, and there the job has none.
            if let (Some((leader, zones)), Some(zone)) = (placed, zone_of(peer))
                && !zones.contains(&zone)
            {
                preconditions.insert(crate::store::LEADER_KEY.into(), *leader);
                continue;
            }
            match rev {
                Some(_) => asked.push(peer.clone()),
                None => late = true,
            }
        }
        if late {
            return Err(Missing::Time);
        }
        if !asked.is_empty() {
            return Err(Missing::CancellationAcks(asked));
        }
        let preconditions = preconditions.into_iter().map(|(key, rev)| Precondition { key, rev });
        Ok(preconditions.chain(self.own.clone()).collect())
    }
}

/// From when a controller's key is gone: its last renewal was a lease's life earlier at least, it
/// answers workers for [`DELEGATION_TERM`] from then, and what it answered last lives for a worker's lease. A
/// job that is cancelled now has `cancel_s` to be gone.
fn quarantine(lease_s: f64, cancel_s: f64) -> Duration {
    let answers = DELEGATION_TERM.saturating_sub(HEARTBEAT_LEASE).as_secs_f64();
    let lives = answers + lease_s * (1.0 + DRIFT) + WORKER_MARGIN.as_secs_f64();
    Duration::from_secs_f64((lives + DELEGATION_MARGIN.as_secs_f64() - cancel_s).max(0.0))
}

/// What this controller promised: it stops these jobs' tasks wherever it answers workers, in whatever
/// role. Kept until the cache shows them over, however long that takes: a transaction may be held back
/// and applied minutes later.
#[derive(Debug, Default)]
pub struct Given {
    jobs: BTreeSet<JobId>,
    /// Those of which a leadership of this process was not told yet.
    news: Vec<JobId>,
}

impl Given {
    pub fn promise(&mut self, jobs: &[JobId]) {
        for id in jobs {
            if self.jobs.insert(id.clone()) {
                self.news.push(id.clone());
            }
        }
    }
    pub fn has(&self, id: &JobId) -> bool {
        self.jobs.contains(id)
    }
    /// For a leadership that begins: all of them.
    pub fn all(&self) -> Vec<JobId> {
        self.jobs.iter().cloned().collect()
    }
    /// For one that goes on: what was promised since it was told last.
    pub fn news(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.news)
    }
    pub fn look(&mut self, cache: &Cache) {
        // A job that is not known yet was accepted a moment ago.
        self.jobs.retain(|id| cache.jobs.get(id).is_none_or(|job| job.live().is_some()));
    }
}

#[cfg(test)]
mod tests;
