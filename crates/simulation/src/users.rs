//! Simulated users, and checks of the rules on responses to them.

use crate::event::SimEvent;
use crate::extra_requests::ReportedStatus;
use crate::model::UserJob;
use crate::world::World;
use rand::Rng;
use troutspindle::http::{Method, Request, Response};
use troutspindle::ids::{JobId, TaskId};
use troutspindle::wire;
use troutspindle::wire::{JobKind, JobSpec, JobStatus, JobView, Priority};

impl World {
    /// Schedules the submission of a job, and optionally its cancellation.
    pub fn submit_at(&mut self, at_ms: u64, number: u64, service: bool, cancel_at: Option<u64>) {
        let tasks = if service { 4 } else { self.random.random_range(1..9) };
        let spec = JobSpec {
            id: JobId::new(&format!("wk-{number}")),
            class: if service { "s" } else { "c" }.into(),
            team: "t".into(),
            kind: if service { JobKind::Service } else { JobKind::Array },
            priority: if service { Priority::Production } else { Priority::High },
            tasks,
            cpus: 2.0,
            gpus: 0.0,
            ram_gb: 4.0,
            image: format!("img-{}", number % 3),
            image_gb: 1.0,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: service,
            spot: !service,
            expect_s: 5.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
            depends_on: None,
        };
        let job = UserJob {
            spec,
            accepted: false,
            cancel_at,
            cancel_requested: false,
            cancellation_confirmed_ms: None,
            tasks_when_confirmed: 0,
            cancellations_postponed: 0,
            completion_confirmed: false,
            always_fails: false,
            first_attempts_fail: false,
            pending_request: None,
            received: Vec::new(),
            sent_event: 0,
            last_response_ms: at_ms,
        };
        self.jobs.insert(number, job);
        self.schedule(at_ms, SimEvent::User(number));
    }

    /// Runs the periodic step of a job's user: sends the next regular request.
    pub fn step_user(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let job = &self.jobs[&number];
        if job.pending_request.is_some_and(|(since, _)| now_ms < since + 5000) {
            return self.schedule(now_ms + 500, SimEvent::User(number));
        }
        let is_finished = job.completion_confirmed || job.cancellation_confirmed_ms.is_some();
        let id = job.spec.id.clone();
        let depends_on: Vec<u64> =
            job.spec.depends_on.iter().flatten().map(Self::job_number).collect();
        if depends_on.iter().any(|dependency| !self.jobs[dependency].accepted) {
            return self.schedule(now_ms + 200, SimEvent::User(number));
        }
        let (kind, request) = if !job.accepted {
            let body = wire::encode(&job.spec);
            (0, Request { method: Method::Post, target: "/api/jobs".into(), body })
        } else if !is_finished && job.cancel_at.is_some_and(|at| now_ms >= at) {
            let target = format!("/api/jobs/{id}/abort");
            (2, Request { method: Method::Post, target, body: Vec::new() })
        } else {
            (
                1,
                Request {
                    method: Method::Get,
                    target: format!("/api/jobs/{id}"),
                    body: Vec::new(),
                },
            )
        };
        let job = self.jobs.get_mut(&number).unwrap();
        job.pending_request = Some((now_ms, kind));
        job.sent_event = self.events;
        job.cancel_requested |= kind == 2;
        let random_controller = self.random.random_range(0..self.controllers.len());
        let controller = self.cancel_via.filter(|_| kind == 2).unwrap_or(random_controller);
        self.schedule_soon(SimEvent::UserRequest(controller, number, request));
        let wait = if is_finished { 20_000 } else { 1500 } / if self.poll_storm { 8 } else { 1 };
        self.schedule(now_ms + wait, SimEvent::User(number));
    }

    /// Handles the response to a user's regular request.
    pub fn on_user_response(&mut self, number: u64, sent_ms: u64, response: &Response) {
        let job = self.jobs.get_mut(&number).unwrap();
        // The user has closed the connection of a request that timed out.
        let Some((_, kind)) = job.pending_request.take_if(|(at, _)| *at == sent_ms) else { return };
        if matches!(response.status, 503 | 599) {
            job.cancellations_postponed += u32::from(kind == 2 && response.status == 503);
            return;
        }
        let sent_event = job.sent_event;
        self.check_response(number, kind, (sent_ms, sent_event), response);
    }

    /// Checks the rules on a response to any of a user's requests, given the request's kind, send time and event.
    pub fn check_response(
        &mut self,
        number: u64,
        kind: u8,
        (sent_ms, sent_event): (u64, u64),
        response: &Response,
    ) {
        let now_ms = self.now_ms;
        let job_and_dependencies = self.with_dependencies(number);
        let was_requested = job_and_dependencies.iter().any(|n| self.jobs[n].cancel_requested);
        let confirmed_at = job_and_dependencies
            .iter()
            .filter_map(|n| self.jobs[n].cancellation_confirmed_ms)
            .min();
        let on_machines = self.on_machines(number);
        let events = self.events;
        let mut is_new = false;
        let job = self.jobs.get_mut(&number).unwrap();
        job.last_response_ms = now_ms;
        let mut found = Vec::new();
        let reported = ReportedStatus::of(response);
        // Only statuses received before the request was sent are compared.
        let known_status =
            job.received.iter().filter(|(at, _)| *at < sent_event).map(|(_, status)| *status).max();
        if known_status.is_some_and(|known_status| reported < Some(known_status)) {
            let id = &job.spec.id;
            found.push(format!(
                "older: {id} of kind {kind} got {reported:?} after {known_status:?}"
            ));
        }
        if let Some(reported) = reported
            && job.received.iter().all(|(_, status)| *status != reported)
        {
            job.received.push((events, reported));
            is_new = true;
        }
        if !matches!(response.status, 200 | 201) {
            found
                .push(format!("forgotten: {} of kind {kind} got {}", job.spec.id, response.status));
        } else {
            let view: JobView = wire::decode(&response.body).unwrap();
            job.accepted = true;
            let all_done = (0..job.spec.tasks as u32).all(|index| {
                self.finished.contains_key(&TaskId { job: job.spec.id.clone(), index })
            });
            if view.status == JobStatus::Done && (!all_done || job.spec.kind == JobKind::Service) {
                found.push(format!("not_done: {}", job.spec.id));
            }
            let is_open = matches!(view.status, JobStatus::Queued | JobStatus::Running);
            // A response that was in flight when another arrived may still report the job as open.
            let is_later = !is_open || known_status >= Some(ReportedStatus::Done);
            let went_back = is_later && job.completion_confirmed && view.status != JobStatus::Done
                || is_later
                    && job.cancellation_confirmed_ms.is_some()
                    && view.status != JobStatus::Cancelled
                || (view.status == JobStatus::Cancelled && !was_requested);
            // Every request sent after a confirmation to any user must find the job cancelled.
            if is_open && confirmed_at.is_some_and(|at| sent_ms > at) {
                found.push(format!("orphaned: {}", job.spec.id));
            }
            if went_back {
                found.push(format!("went_back: {} to {:?}", job.spec.id, view.status));
            }
            job.completion_confirmed |= view.status == JobStatus::Done;
            if view.status == JobStatus::Cancelled && job.cancellation_confirmed_ms.is_none() {
                job.cancellation_confirmed_ms = Some(now_ms);
                job.tasks_when_confirmed = on_machines;
            }
        }
        for message in found {
            self.record_violation(message);
        }
        if is_new {
            self.send_rapid_requests(number);
        }
    }
}

impl World {
    /// Checks, long after all faults have ended, that each job is finished or runs completely, and that its user
    /// receives responses.
    pub fn check_final_state(&mut self) {
        for (number, job) in &self.jobs {
            let cancelled = job.cancellation_confirmed_ms.is_some();
            let runs_completely = self.running(*number) as u64 == job.spec.tasks;
            let is_long_running = job.spec.kind == JobKind::Service || job.spec.expect_s > 60.0;
            let what = if self.now_ms > job.last_response_ms + 75_000 {
                "forgotten: no response about it"
            } else if job.cancel_at.is_some() && !cancelled && !job.completion_confirmed {
                "it was never cancelled"
            } else if is_long_running && !cancelled && !runs_completely {
                "it does not run"
            } else if !is_long_running && !cancelled && !job.completion_confirmed {
                "it is not finished"
            } else {
                continue;
            };
            self.violations.push(format!("{number}: {what}"));
        }
    }
}
