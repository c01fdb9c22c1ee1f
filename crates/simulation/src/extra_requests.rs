//! Additional requests of users: rapid requests to all controllers, and invalid requests. Several requests of one
//! user may be in flight; their responses are compared by send and receive time only.

use crate::event::SimEvent;
use crate::model::Ticket;
use crate::world::World;
use rand::Rng;
use troutspindle::controller::Event;
use troutspindle::http::{Method, Request, Response};
use troutspindle::ids::JobId;
use troutspindle::wire;
use troutspindle::wire::{JobSpec, JobStatus, JobView, StoreValue};

/// Job status reported by a response. A later status is greater; `Done` and `Cancelled` are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedStatus {
    Accepted,
    Done,
    Cancelled,
}

impl ReportedStatus {
    /// Returns the status in a response; `None` if the job is unknown, malformed or cannot run.
    pub fn of(response: &Response) -> Option<ReportedStatus> {
        if !matches!(response.status, 200 | 201) {
            return None;
        }
        let view: JobView = wire::decode(&response.body).unwrap();
        Some(match view.status {
            JobStatus::Done => ReportedStatus::Done,
            JobStatus::Cancelled => ReportedStatus::Cancelled,
            JobStatus::Queued | JobStatus::Running => ReportedStatus::Accepted,
        })
    }
}

/// Kind of an additional request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    Submit,
    Poll,
    Cancel,
    /// A repeated submission that contains only the job's id.
    Incomplete,
    /// A repeated submission that requests more CPUs than any machine has.
    TooLarge,
    /// An incomplete submission of an unknown job.
    IncompleteUnknown,
    /// A submission of an unknown job that is too large.
    TooLargeUnknown,
    /// A poll for an unknown job.
    PollUnknown,
}

/// An additional request of a user.
#[derive(Clone, Debug)]
pub struct ExtraRequest {
    pub job: u64,
    pub kind: RequestKind,
    /// Send time in milliseconds.
    pub sent_ms: u64,
    /// Event in which the request was sent; 0 before.
    pub sent_event: u64,
}

/// First number of the jobs that no user submits.
const FIRST_UNKNOWN_JOB: u64 = 900_000;

impl World {
    /// Schedules rapid requests after a user has received a new status of a job.
    pub fn send_rapid_requests(&mut self, number: u64) {
        if !self.targeted_faults.rapid_requests {
            return;
        }
        let may_cancel = self.jobs[&number].cancel_at.is_some_and(|at| self.now_ms >= at);
        for controller in 0..self.controllers.len() {
            for round in [0, 1, 3, 8, 20, 60] {
                let at = self.now_ms + round + self.random.random_range(0..2);
                let kind = match self.random.random_range(0..4) {
                    0 => RequestKind::Submit,
                    1 if may_cancel => RequestKind::Cancel,
                    _ => RequestKind::Poll,
                };
                self.send_extra_request_at(at, controller, number, kind);
            }
        }
    }

    /// Schedules a request that is sent at this time.
    pub fn send_extra_request_at(
        &mut self,
        at: u64,
        controller: usize,
        job: u64,
        kind: RequestKind,
    ) {
        // The number of the sending event is known only when it occurs.
        let extra = ExtraRequest { job, kind, sent_ms: at, sent_event: 0 };
        self.schedule(at, SimEvent::ExtraRequest(controller, extra));
    }

    /// Sends a request, or delivers it to its controller if it was sent before.
    pub fn deliver_extra_request(&mut self, controller: usize, mut extra: ExtraRequest) {
        if extra.sent_event == 0 {
            extra.sent_event = self.events;
            let job = self.jobs.get_mut(&extra.job);
            if extra.kind == RequestKind::Cancel
                && let Some(job) = job
            {
                job.cancel_requested = true;
            }
            return self.schedule_soon(SimEvent::ExtraRequest(controller, extra));
        }
        if self.partitioned_controllers[controller]
            || self.down[controller]
            || self.is_isolated(controller)
        {
            return;
        }
        if self.controllers[controller].is_none() {
            return self.schedule_soon(SimEvent::ExtraResponse(extra, Response::empty(599)));
        }
        let request = self.build_extra_request(&extra);
        let ticket = self.ticket(controller, Ticket::ExtraRequest(extra));
        self.deliver(controller, Event::Request { ticket, request });
    }

    fn build_extra_request(&self, extra: &ExtraRequest) -> Request {
        let id = format!("wk-{}", extra.job);
        let known_spec = self.jobs.get(&extra.job).map(|job| &job.spec);
        let post = |body| Request { method: Method::Post, target: "/api/jobs".into(), body };
        let incomplete = || {
            let name = (StoreValue::from("nameId"), StoreValue::from(id.as_str()));
            post(wire::encode(&StoreValue::Map(vec![name])))
        };
        let spec = |cpus: f64| {
            let template = known_spec.or(self.jobs.values().next().map(|job| &job.spec)).unwrap();
            let cpus = if cpus > 0.0 { cpus } else { template.cpus };
            post(wire::encode(&JobSpec { id: JobId::new(&id), cpus, ..template.clone() }))
        };
        match extra.kind {
            RequestKind::Submit => spec(0.0),
            RequestKind::Incomplete | RequestKind::IncompleteUnknown => incomplete(),
            RequestKind::TooLarge | RequestKind::TooLargeUnknown => spec(9.0),
            RequestKind::Poll | RequestKind::PollUnknown => {
                Request { method: Method::Get, target: format!("/api/jobs/{id}"), body: Vec::new() }
            }
            RequestKind::Cancel => {
                let target = format!("/api/jobs/{id}/abort");
                Request { method: Method::Post, target, body: Vec::new() }
            }
        }
    }

    /// Checks the response to an additional request.
    pub fn on_extra_response(&mut self, extra: &ExtraRequest, response: &Response) {
        if matches!(response.status, 503 | 599) || self.now_ms > extra.sent_ms + 5000 {
            return;
        }
        let expected = match extra.kind {
            RequestKind::IncompleteUnknown => 400,
            RequestKind::TooLargeUnknown => 422,
            RequestKind::PollUnknown => 404,
            _ => {
                self.targeted_faults.record_effect("rapid requests");
                return self.check_response(
                    extra.job,
                    9,
                    (extra.sent_ms, extra.sent_event),
                    response,
                );
            }
        };
        self.targeted_faults.record_effect("invalid requests");
        if response.status != expected {
            self.record_violation(format!("invented: {extra:?} got {}", response.status));
        }
    }

    /// Sends one invalid request and schedules the next one.
    pub fn send_invalid_request(&mut self) {
        if !self.targeted_faults.invalid_requests {
            return;
        }
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted);
        let accepted: Vec<u64> = accepted.map(|(number, _)| *number).collect();
        let controller = self.random.random_range(0..self.controllers.len());
        let unknown_job = FIRST_UNKNOWN_JOB + self.events;
        let pick = self.random.random_range(0..accepted.len().max(1));
        let (job, kind) = match (self.random.random_range(0..7), accepted.get(pick)) {
            (0, _) | (_, None) => (unknown_job, RequestKind::IncompleteUnknown),
            (1, _) => (unknown_job, RequestKind::TooLargeUnknown),
            (2, _) => (unknown_job, RequestKind::PollUnknown),
            (3, Some(job)) => (*job, RequestKind::Incomplete),
            (4, Some(job)) => (*job, RequestKind::TooLarge),
            (5, Some(job)) => (*job, RequestKind::Submit),
            // A completed job must stay completed when it is cancelled.
            (_, Some(job)) if self.jobs[job].completion_confirmed => (*job, RequestKind::Cancel),
            (_, Some(job)) => (*job, RequestKind::Poll),
        };
        if !self.jobs.is_empty() {
            self.send_extra_request_at(self.now_ms, controller, job, kind);
        }
        let next = self.now_ms + self.random.random_range(20..200);
        self.schedule(next, SimEvent::InvalidRequest);
    }

    /// Cancels a job at a time through a random controller; its user repeats the request until it is confirmed.
    pub fn cancel_job(&mut self, number: u64, at: u64) {
        let job = self.jobs.get_mut(&number).unwrap();
        if job.cancel_at.is_none_or(|cancel_at| cancel_at > at) {
            job.cancel_at = Some(at);
            let controller = self.random.random_range(0..self.controllers.len());
            self.send_extra_request_at(at, controller, number, RequestKind::Cancel);
            self.schedule(at + 1, SimEvent::User(number));
        }
    }
}
