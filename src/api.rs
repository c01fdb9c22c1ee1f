//! Users' requests: a core that decides each answer from the cache, after a read-index sync or a
//! commit where the answer needs one.

use crate::admission::{Need, come_back_s};
use crate::clock::WallClock;
use crate::constants::{CHANGE_DEADLINE, LEGS_MAX, USER_DEADLINE};
use crate::http::{Method, Request, Response};
use crate::ids::{Amount, ControllerId, JobId};
use crate::jobs::{self, Acceptance, Job, Jobs};
use crate::leadership::controller_lease::{CancellationAcks, Given, Missing};
use crate::settings::Settings;
use crate::store::{PendingWrite, StoreClient, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::{self, JobKind, JobName, JobSpec, JobStatus, JobView, MachineType, Transaction};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_protocol::operator_api;

/// Count. User requests waiting in one process; beyond it they are refused at once.
pub const USER_QUEUE_MAX: usize = 2000;
/// How long a cancellation waits for the promises of controllers that are in reach, some milliseconds
/// as a rule; beyond it the user is told to come back.
pub const PROMISE_WAIT: Duration = Duration::from_millis(800);
/// Pause before a controller that has not answered is asked again.
pub const PROMISE_AGAIN: Duration = Duration::from_millis(300);

/// Where a request goes.
#[derive(Debug, PartialEq, Eq)]
pub enum Route {
    Up,
    Hello,
    Submit,
    Poll(JobId),
    Abort(JobId),
    /// Operators ask what is at risk.
    JobsAtRisk,
    /// And what is starving.
    FairShareReport,
    Drain,
    Undrain,
    Drains,
    Unknown,
    WrongMethod,
}

pub fn route(request: &Request) -> Route {
    let path = request.target.split('?').next().unwrap_or("");
    let want = |method, route| if request.method == method { route } else { Route::WrongMethod };
    // Operators' paths that are shut are not there, whatever is asked of them.
    let ops_want = |route| if request.method == Method::Post { route } else { Route::Unknown };
    match path {
        "/up" => want(Method::Get, Route::Up),
        "/hello" => want(Method::Post, Route::Hello),
        "/api/jobs" => want(Method::Post, Route::Submit),
        operator_api::AT_RISK_PATH => ops_want(Route::JobsAtRisk),
        operator_api::STARVING_PATH => ops_want(Route::FairShareReport),
        operator_api::DRAIN_PATH => ops_want(Route::Drain),
        operator_api::UNDRAIN_PATH => ops_want(Route::Undrain),
        operator_api::DRAINS_PATH => ops_want(Route::Drains),
        _ => match path.strip_prefix("/api/jobs/") {
            Some(rest) => match rest.split_once('/') {
                None if valid_id(rest) => want(Method::Get, Route::Poll(JobId::new(rest))),
                Some((id, "abort")) if valid_id(id) => {
                    want(Method::Post, Route::Abort(JobId::new(id)))
                }
                _ => Route::Unknown,
            },
            None => Route::Unknown,
        },
    }
}

/// How much a request is needed by whoever sent it, by its path alone.
pub fn need(request: &Request) -> Need {
    match route(request) {
        Route::Poll(_) => Need::Asks,
        Route::Submit => Need::Submits,
        _ => Need::Keeps,
    }
}

/// PROTOCOL: ids are always in the form `wk-000412`.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("wk-").is_some_and(|rest| {
        (1..=40).contains(&rest.len()) && rest.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Bytes. Names in a submission; far beyond any in use, and small enough for a record's value.
const TEXT_MAX: usize = 200;

fn well_formed(spec: &JobSpec) -> bool {
    let text = |s: &str| !s.is_empty() && s.len() <= TEXT_MAX;
    let amount = |x: f64| x.is_finite() && (0.0..1e9).contains(&x);
    valid_id(spec.id.as_str())
        && text(&spec.class)
        && text(&spec.team)
        && spec.image.len() <= TEXT_MAX
        && (1..=LEGS_MAX).contains(&spec.tasks)
        && [spec.cpus, spec.gpus, spec.ram_gb, spec.image_gb, spec.expect_s]
            .into_iter()
            .chain([spec.checkpoint_s, spec.save_s, spec.due_s.unwrap_or(0.0)])
            .all(amount)
        && spec.flavors.as_ref().is_none_or(|list| list.len() <= 32 && list.iter().all(|f| text(f)))
        && spec.zone.as_ref().is_none_or(|zone| text(zone))
        && spec.depends_on.as_ref().is_none_or(|list| list.iter().all(|id| valid_id(id.as_str())))
}

/// A submission in the form in which it is kept: each job that it waits for is named once.
fn normal(mut spec: JobSpec) -> JobSpec {
    if let Some(depends_on) = &mut spec.depends_on {
        let mut seen = HashSet::new();
        depends_on.retain(|id| seen.insert(id.clone()));
    }
    spec.depends_on.take_if(|depends_on| depends_on.is_empty());
    spec
}

/// Why a job can never wait for what it names, if it can't. One that was accepted a moment ago may
/// not be known here yet.
fn unfit_need(spec: &JobSpec, known: &Jobs) -> Option<&'static str> {
    spec.depends_on.iter().flatten().find_map(|id| match known.get(id).map(|job| job.live()) {
        None if known.is_unreadable(id) => None,
        None => Some("waits for a job that was never accepted"),
        Some(Some(live)) if live.spec.shape == JobKind::Service => Some("waits for a service"),
        Some(_) => None,
    })
}

/// Why the job can never run, if it can't.
fn impossible(
    spec: &JobSpec,
    settings: &Settings,
    flavors: &[MachineType],
) -> Option<&'static str> {
    let params = &settings.platform.params;
    let Some(team) = params.teams.iter().find(|team| team.name == spec.team) else {
        return Some("unknown team");
    };
    let need = Amount::need(spec.cpus, spec.gpus, spec.ram_gb);
    let at_once = match spec.shape {
        JobKind::Array => 1,
        JobKind::Service | JobKind::Gang => spec.tasks,
    };
    if !need.times(at_once).fits(&team.most()) {
        return Some("beyond its team's limit");
    }
    if spec.zone.as_ref().is_some_and(|zone| !params.zones.contains(zone)) {
        return Some("unknown zone");
    }
    let fits = flavors.iter().any(|flavor| {
        spec.flavors.as_ref().is_none_or(|list| list.contains(&flavor.name))
            && spec.zone.as_ref().is_none_or(|zone| flavor.zones.contains(zone))
            && need.fits(&Amount::room(flavor.cpus, flavor.gpus, flavor.ram_gb))
    });
    (!fits).then_some("fits no allowed machine type")
}

#[derive(Debug)]
enum Wish {
    Submit(Arc<JobSpec>),
    /// A submission that is malformed but names a job: a known one is never told 400.
    Broken(JobId),
    Poll(JobId),
    Abort(JobId),
}

#[derive(Debug)]
struct Waiting {
    wish: Wish,
    deadline: Instant,
    since: Instant,
    /// What is being committed are parts of its description, and more is to follow.
    in_parts: bool,
    /// A submission that names jobs: the sync that goes beside its commit has brought news of them,
    /// and it is accepted. What it names may have been cancelled, and a user been told, a moment ago
    /// elsewhere; the answer has to say so, and comes when both are there.
    synced: bool,
    accepted: bool,
    /// Its commit is under way.
    committing: bool,
    /// A cancellation waits for promises of other controllers until then.
    promises_until: Option<Instant>,
}

pub struct Api {
    settings: Arc<Settings>,
    pub wall: WallClock,
    waiting: BTreeMap<u64, Waiting>,
    /// Tasks that run, by job, as the leader last told.
    pub running: BTreeMap<JobId, u32>,
    /// Jobs that this process told users to be cancelled, and when: a leader that is cut off
    /// from the store learns them over the mesh.
    pub cancelled: Vec<(JobId, Instant)>,
    pub latency_ms: hdrhistogram::Histogram<u64>,
    pub refused: u64,
    pub promises: CancellationAcks,
    /// What this controller promised to stop, or is about to cancel itself.
    pub given: Given,
    /// Whom to ask for which promise, and when each was asked last.
    pub asks: Vec<(ControllerId, JobId)>,
    asked: HashMap<(ControllerId, JobId), Instant>,
}

pub type Answer = (u64, Response);

impl Api {
    pub fn new(settings: Arc<Settings>, wall: WallClock) -> Option<Api> {
        let platform = &settings.platform;
        let workers = &platform.params.workers;
        let peers = platform.others.iter().map(|peer| peer.host_name.clone()).collect();
        Some(Api {
            promises: CancellationAcks::new(peers, workers.lease_s, workers.cancel_s),
            given: Given::default(),
            asks: Vec::new(),
            asked: HashMap::new(),
            settings,
            wall,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            cancelled: Vec::new(),
            latency_ms: hdrhistogram::Histogram::new_with_bounds(1, 60_000, 2).ok()?,
            refused: 0,
        })
    }

    fn view(&self, id: &JobId, job: &Job, status: u16) -> Response {
        let view = match (job.final_state(), job.live()) {
            (Some((status, done)), _) => JobView { id: id.clone(), status, done, running: 0 },
            (None, live) => {
                let running = u64::from(self.running.get(id).copied().unwrap_or(0));
                let status = if running > 0 { JobStatus::Running } else { JobStatus::Queued };
                let done = live.map_or(0, |live| live.done_count());
                JobView { id: id.clone(), status, done, running }
            }
        };
        Response::with(status, wire::encode(&view))
    }

    fn later(&mut self) -> Response {
        self.refused += 1;
        Response::later_in(503, come_back_s(self.waiting.len(), self.refused))
    }

    /// Takes a request in; an answer that needs nothing more comes back at once.
    pub fn on_request(
        &mut self,
        ticket: u64,
        route: Route,
        body: &[u8],
        state: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        let wish = match route {
            Route::Poll(id) => Wish::Poll(id),
            Route::Abort(id) => Wish::Abort(id),
            _ => match wire::decode::<JobSpec>(body) {
                Ok(spec) if well_formed(&spec) => Wish::Submit(Arc::new(normal(spec))),
                _ => match wire::decode::<JobName>(body) {
                    Ok(name) if valid_id(name.id.as_str()) => Wish::Broken(name.id),
                    _ => return Some(Response::empty(400)),
                },
            },
        };
        if !state.cache.loaded {
            return Some(self.later());
        }
        let id = match &wish {
            Wish::Submit(spec) => &spec.id,
            Wish::Broken(id) | Wish::Poll(id) | Wish::Abort(id) => id,
        };
        // A final state never changes, so the cache may answer.
        if let Some(job) = state.cache.jobs.get(id)
            && job.final_state().is_some()
        {
            return Some(self.view(id, job, 200));
        }
        if state.cache.jobs.is_unreadable(id) {
            return Some(self.later());
        }
        if state.is_unavailable(now) || self.waiting.len() >= USER_QUEUE_MAX {
            return Some(self.later());
        }
        let deadline = match wish {
            Wish::Submit(_) | Wish::Abort(_) => now + CHANGE_DEADLINE,
            _ => now + USER_DEADLINE,
        };
        let known = state.cache.jobs.get(id).is_some();
        // A change goes to the store at once: its guard finds out whether the cache was old.
        let direct = match &wish {
            Wish::Submit(_) => !known,
            Wish::Abort(_) => known,
            _ => false,
        };
        self.waiting.insert(
            ticket,
            Waiting {
                wish,
                deadline,
                since: now,
                in_parts: false,
                synced: false,
                accepted: false,
                committing: false,
                promises_until: None,
            },
        );
        if direct { self.act(ticket, false, state, now) } else { self.sync(ticket, state) }
    }

    fn sync(&self, ticket: u64, state: &mut StoreClient) -> Option<Response> {
        match self.waiting.get(&ticket).map(|waiting| &waiting.wish) {
            Some(Wish::Poll(_)) => state.sync(ticket),
            _ => state.sync_soon(ticket),
        }
        None
    }

    /// Answers, or commits, by what the cache says; `fresh` if it was synced for this request.
    fn act(
        &mut self,
        ticket: u64,
        fresh: bool,
        state: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        let waiting = self.waiting.get(&ticket)?;
        let id = match &waiting.wish {
            Wish::Submit(spec) => spec.id.clone(),
            Wish::Broken(id) | Wish::Poll(id) | Wish::Abort(id) => id.clone(),
        };
        let job = state.cache.jobs.get(&id);
        let transaction = match (&waiting.wish, job) {
            (Wish::Submit(spec), None) => {
                let flavors = &state.cache.machine_types.0;
                if flavors.is_empty() {
                    let response = self.later();
                    return Some(self.finish(ticket, response));
                }
                let layout = state.layout();
                // An old leader would start it before what it waits for is done. Another controller
                // may know already that there is none any more.
                let early = spec.depends_on.is_some() && !layout.second();
                let unfit = impossible(spec, &self.settings, flavors)
                    .or_else(|| unfit_need(spec, &state.cache.jobs));
                if !fresh && (early || unfit.is_some()) {
                    return self.sync(ticket, state);
                }
                if early {
                    tracing::info!(job = %id, "waits for others, which not all controllers know yet");
                    let response = self.later();
                    return Some(self.finish(ticket, response));
                }
                if let Some(why) = unfit {
                    tracing::info!(job = %id, team = spec.team, why, "refused for good");
                    return Some(self.finish(ticket, Response::empty(422)));
                }
                tracing::debug!(job = %id, ?spec, "submitted");
                let accepted_ms = self.wall.ms(now);
                let step = jobs::accept(spec, accepted_ms, &layout, &state.cache.jobs);
                let in_parts = matches!(step, Acceptance::SpecChunks(_));
                if let Some(waiting) = self.waiting.get_mut(&ticket) {
                    waiting.in_parts = in_parts;
                }
                match step {
                    Acceptance::SpecChunks(transaction) | Acceptance::JobRecord(transaction) => {
                        transaction
                    }
                }
            }
            (Wish::Abort(_), Some(job)) if job.live().is_some() => {
                let transaction = jobs::cancel(&id, job, self.wall.ms(now), &state.layout())?;
                let zone_of = |peer: &ControllerId| self.zone_of(peer);
                match self.promises.guards(&id, &state.cache, zone_of, now) {
                    Ok(guards) => {
                        // Should it be applied late, this controller may be the one cut off by then.
                        self.given.promise(std::slice::from_ref(&id));
                        Transaction { guards: [transaction.guards, guards].concat(), ..transaction }
                    }
                    Err(missing) => return self.await_promises(ticket, id, missing, now),
                }
            }
            (Wish::Broken(_), None) => return Some(self.finish(ticket, Response::empty(400))),
            (_, None) => return Some(self.finish(ticket, Response::empty(404))),
            (_, Some(job)) => {
                let response = self.view(&id, job, if waiting.accepted { 201 } else { 200 });
                if matches!(job.final_state(), Some((JobStatus::Cancelled, _))) {
                    self.cancelled.push((id, waiting.since));
                }
                return Some(self.finish(ticket, response));
            }
        };
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.committing = true;
            waiting.synced |= fresh;
            let names = matches!(&waiting.wish, Wish::Submit(spec) if spec.depends_on.is_some());
            if names && !waiting.synced {
                state.sync_soon(ticket);
            }
        }
        state.enqueue(PendingWrite {
            priority: WritePriority::Interactive,
            origin: WriteOrigin::User(ticket),
            transaction,
        });
        None
    }

    fn zone_of(&self, peer: &ControllerId) -> Option<String> {
        let others = &self.settings.platform.others;
        others.iter().find(|other| other.host_name == *peer).map(|other| other.location.clone())
    }

    /// A cancellation that can't be committed yet: asks whom it takes, or refuses at once.
    fn await_promises(
        &mut self,
        ticket: u64,
        id: JobId,
        missing: Missing,
        now: Instant,
    ) -> Option<Response> {
        let peers = match &missing {
            Missing::CancellationAcks(peers) => peers.clone(),
            // The leader may know that the job has nothing where that one is.
            Missing::Time => {
                let others = &self.settings.platform.others;
                others.iter().map(|other| other.host_name.clone()).collect()
            }
        };
        for peer in peers {
            let key = (peer.clone(), id.clone());
            if self.asked.get(&key).is_none_or(|at| now >= *at + PROMISE_AGAIN) {
                self.asked.insert(key, now);
                self.asks.push((peer, id.clone()));
            }
        }
        let waiting = self.waiting.get_mut(&ticket)?;
        let until = *waiting.promises_until.get_or_insert(now + PROMISE_WAIT);
        let hopeless = missing == Missing::Time && self.promises.knows_place(&id);
        if now < until && !hopeless {
            return None;
        }
        tracing::info!(job = %id, ?missing, "cannot be cancelled yet");
        let response = self.later();
        Some(self.finish(ticket, response))
    }

    /// Looks again at cancellations that wait for promises.
    pub fn on_promised(&mut self, state: &mut StoreClient, now: Instant) -> Vec<Answer> {
        let due = self.waiting.iter().filter(|(_, w)| w.promises_until.is_some());
        let due: Vec<u64> = due.map(|(ticket, _)| *ticket).collect();
        let mut answers = Vec::new();
        for ticket in due {
            if self.waiting.get(&ticket).is_some_and(|waiting| !waiting.committing)
                && let Some(response) = self.act(ticket, false, state, now)
            {
                answers.push((ticket, response));
            }
        }
        answers
    }

    fn finish(&mut self, ticket: u64, response: Response) -> Response {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            let ms = waiting.since.elapsed().as_millis() as u64;
            self.latency_ms.saturating_record(ms);
        }
        response
    }

    pub fn on_synced(
        &mut self,
        ticket: u64,
        state: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        if let Some(waiting) = self.waiting.get_mut(&ticket)
            && waiting.committing
        {
            waiting.synced = true;
            return None;
        }
        self.act(ticket, true, state, now)
    }

    pub fn on_outcome(
        &mut self,
        ticket: u64,
        outcome: WriteOutcome,
        state: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        self.waiting.get_mut(&ticket)?.committing = false;
        if outcome == WriteOutcome::Invalid {
            // The state service will never take it as it is; the log says what.
            let response = self.later();
            return Some(self.finish(ticket, response));
        }
        if outcome != WriteOutcome::Committed {
            // Done by somebody else, perhaps done, or not done: read again, then decide again.
            return self.sync(ticket, state);
        }
        let waiting = self.waiting.get(&ticket)?;
        if waiting.in_parts {
            return self.act(ticket, false, state, now);
        }
        if let Wish::Submit(spec) = &waiting.wish
            && spec.depends_on.is_some()
            && !waiting.synced
        {
            self.waiting.get_mut(&ticket)?.accepted = true;
            return None;
        }
        let (id, status, code) = match &waiting.wish {
            Wish::Submit(spec) => (spec.id.clone(), JobStatus::Queued, 201),
            Wish::Abort(id) => (id.clone(), JobStatus::Cancelled, 200),
            _ => return None,
        };
        if status == JobStatus::Cancelled {
            self.cancelled.push((id.clone(), now));
        }
        // A job that names a cancelled one is accepted, and cancelled from the start.
        let response = match state.cache.jobs.get(&id) {
            Some(job) => self.view(&id, job, code),
            None => {
                Response::with(code, wire::encode(&JobView { id, status, done: 0, running: 0 }))
            }
        };
        Some(self.finish(ticket, response))
    }

    /// Answers what has waited too long, and everything if the store was lost.
    pub fn tick(&mut self, state: &StoreClient, now: Instant) -> Vec<Answer> {
        let lost = state.is_unavailable(now);
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| lost || now >= waiting.deadline)
            .map(|(ticket, _)| *ticket)
            .collect();
        let keep = self.settings.platform.params.workers.cancel_s * 2.0;
        self.asked.retain(|_, at| now < *at + PROMISE_AGAIN);
        self.cancelled.retain(|(_, at)| now.saturating_duration_since(*at).as_secs_f64() < keep);
        late.into_iter()
            .map(|ticket| {
                let response = self.later();
                (ticket, self.finish(ticket, response))
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
