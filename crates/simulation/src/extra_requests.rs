//! Requests beside the usual ones: looks at all nodes within milliseconds, and odd requests. Several
//! requests of one user may be under way; answers are judged by real time alone.

use crate::event::SimEvent;
use crate::model::Ticket;
use crate::world::World;
use rand::Rng;
use troutspindle::controller::Event;
use troutspindle::http::{Method, Request, Response};
use troutspindle::ids::JobId;
use troutspindle::wire;
use troutspindle::wire::{JobSpec, JobStatus, JobView, StoreValue};

/// What an answer told a user of a job, the newer the greater; both last ones are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedStatus {
    Accepted,
    Done,
    Cancelled,
}

impl ReportedStatus {
    /// None: that there is no such job, or none that is well formed or can run.
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

#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    Submit,
    Poll,
    Abort,
    /// A submission that only names the job, or asks for more than any machine has.
    Broken,
    TooLarge,
    /// The same of a job that nobody submitted, and a question about it.
    BrokenNew,
    TooLargeNew,
    PollNew,
}

/// A request of a user, when and in which event it was sent, and whether it is one of the odd ones.
#[derive(Clone, Debug)]
pub struct ExtraRequest {
    pub job: u64,
    pub ask: RequestKind,
    pub at: u64,
    pub sent: u64,
}

/// Jobs with such numbers are never submitted by anybody.
const NOBODYS: u64 = 900_000;

impl World {
    /// A user has heard news of a job.
    pub fn send_rapid_requests(&mut self, number: u64) {
        if !self.targeted_faults.close_looks {
            return;
        }
        let begins = self.jobs[&number].cancel_at.is_some_and(|at| self.now_ms >= at);
        for node in 0..self.nodes.len() {
            for round in [0, 1, 3, 8, 20, 60] {
                let at = self.now_ms + round + self.random.random_range(0..2);
                let ask = match self.random.random_range(0..4) {
                    0 => RequestKind::Submit,
                    1 if begins => RequestKind::Abort,
                    _ => RequestKind::Poll,
                };
                self.send_extra_request_at(at, node, number, ask);
            }
        }
    }

    /// The request leaves at that time.
    pub fn send_extra_request_at(&mut self, at: u64, node: usize, job: u64, ask: RequestKind) {
        // The events in which it leaves and arrives are known only then.
        let asked = ExtraRequest { job, ask, at, sent: 0 };
        self.at(at, SimEvent::ExtraRequest(node, asked));
    }

    pub fn deliver_extra_request(&mut self, node: usize, mut asked: ExtraRequest) {
        if asked.sent == 0 {
            asked.sent = self.events;
            let job = self.jobs.get_mut(&asked.job);
            if asked.ask == RequestKind::Abort
                && let Some(job) = job
            {
                job.asked_abort = true;
            }
            return self.schedule_soon(SimEvent::ExtraRequest(node, asked));
        }
        if self.cut_node[node] || self.down[node] || self.is_isolated(node) {
            return;
        }
        if self.nodes[node].is_none() {
            return self.schedule_soon(SimEvent::ExtraResponse(asked, Response::empty(599)));
        }
        let request = self.build_extra_request(&asked);
        let ticket = self.ticket(node, Ticket::ExtraRequest(asked));
        self.deliver(node, Event::Request { ticket, request });
    }

    fn build_extra_request(&self, asked: &ExtraRequest) -> Request {
        let id = format!("wk-{}", asked.job);
        let known = self.jobs.get(&asked.job).map(|job| &job.spec);
        let post = |body| Request { method: Method::Post, target: "/api/jobs".into(), body };
        let incomplete = || {
            let name = (StoreValue::from("nameId"), StoreValue::from(id.as_str()));
            post(wire::encode(&StoreValue::Map(vec![name])))
        };
        let spec = |cpus: f64| {
            let some = known.or(self.jobs.values().next().map(|job| &job.spec)).unwrap();
            let cpus = if cpus > 0.0 { cpus } else { some.cpus };
            post(wire::encode(&JobSpec { id: JobId::new(&id), cpus, ..some.clone() }))
        };
        match asked.ask {
            RequestKind::Submit => spec(0.0),
            RequestKind::Broken | RequestKind::BrokenNew => incomplete(),
            RequestKind::TooLarge | RequestKind::TooLargeNew => spec(9.0),
            RequestKind::Poll | RequestKind::PollNew => {
                Request { method: Method::Get, target: format!("/api/jobs/{id}"), body: Vec::new() }
            }
            RequestKind::Abort => {
                let target = format!("/api/jobs/{id}/abort");
                Request { method: Method::Post, target, body: Vec::new() }
            }
        }
    }

    pub fn on_extra_response(&mut self, asked: &ExtraRequest, response: &Response) {
        if matches!(response.status, 503 | 599) || self.now_ms > asked.at + 5000 {
            return;
        }
        let expected = match asked.ask {
            RequestKind::BrokenNew => 400,
            RequestKind::TooLargeNew => 422,
            RequestKind::PollNew => 404,
            _ => {
                self.targeted_faults.record_effect("close looks");
                return self.judge(asked.job, 9, (asked.at, asked.sent), response);
            }
        };
        self.targeted_faults.record_effect("odd requests");
        if response.status != expected {
            self.record_violation(format!("invented: {asked:?} got {}", response.status));
        }
    }

    /// One odd request, and the next one soon.
    pub fn send_invalid_request(&mut self) {
        if !self.targeted_faults.odd_requests {
            return;
        }
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted);
        let accepted: Vec<u64> = accepted.map(|(number, _)| *number).collect();
        let node = self.random.random_range(0..self.nodes.len());
        let nobodys = NOBODYS + self.events;
        let pick = self.random.random_range(0..accepted.len().max(1));
        let (job, ask) = match (self.random.random_range(0..7), accepted.get(pick)) {
            (0, _) | (_, None) => (nobodys, RequestKind::BrokenNew),
            (1, _) => (nobodys, RequestKind::TooLargeNew),
            (2, _) => (nobodys, RequestKind::PollNew),
            (3, Some(job)) => (*job, RequestKind::Broken),
            (4, Some(job)) => (*job, RequestKind::TooLarge),
            (5, Some(job)) => (*job, RequestKind::Submit),
            // What is done stays done, whoever calls it off.
            (_, Some(job)) if self.jobs[job].told_done => (*job, RequestKind::Abort),
            (_, Some(job)) => (*job, RequestKind::Poll),
        };
        if !self.jobs.is_empty() {
            self.send_extra_request_at(self.now_ms, node, job, ask);
        }
        let next = self.now_ms + self.random.random_range(20..200);
        self.at(next, SimEvent::InvalidRequest);
    }

    /// Calls a job off right now at some node; its user goes on until it is told.
    pub fn cancel_job(&mut self, number: u64, at: u64) {
        let job = self.jobs.get_mut(&number).unwrap();
        if job.cancel_at.is_none_or(|abort| abort > at) {
            job.cancel_at = Some(at);
            let node = self.random.random_range(0..self.nodes.len());
            self.send_extra_request_at(at, node, number, RequestKind::Abort);
            self.at(at + 1, SimEvent::User(number));
        }
    }
}
