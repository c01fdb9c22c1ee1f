//! Users, and the rules that are seen in what they are told.

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
    pub fn submit_at(&mut self, t: u64, number: u64, service: bool, cancel_at: Option<u64>) {
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
            asked_abort: false,
            cancellation_confirmed_ms: None,
            ran_when_told: 0,
            put_off: 0,
            told_done: false,
            always_fails: false,
            asked: None,
            told: Vec::new(),
            sent: 0,
            last_good: t,
        };
        self.jobs.insert(number, job);
        self.at(t, SimEvent::User(number));
    }

    pub fn user(&mut self, number: u64) {
        let t = self.now_ms;
        let job = &self.jobs[&number];
        if job.asked.is_some_and(|(since, _)| t < since + 5000) {
            return self.at(t + 500, SimEvent::User(number));
        }
        let over = job.told_done || job.cancellation_confirmed_ms.is_some();
        let id = job.spec.id.clone();
        let depends_on: Vec<u64> = job.spec.depends_on.iter().flatten().map(Self::number).collect();
        if depends_on.iter().any(|need| !self.jobs[need].accepted) {
            return self.at(t + 200, SimEvent::User(number));
        }
        let (kind, request) = if !job.accepted {
            let body = wire::encode(&job.spec);
            (0, Request { method: Method::Post, target: "/api/jobs".into(), body })
        } else if !over && job.cancel_at.is_some_and(|at| t >= at) {
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
        job.asked = Some((t, kind));
        job.sent = self.events;
        job.asked_abort |= kind == 2;
        let any = self.random.random_range(0..self.nodes.len());
        let node = self.cancel_at.filter(|_| kind == 2).unwrap_or(any);
        self.schedule_soon(SimEvent::UserRequest(node, number, request));
        let wait = if over { 20_000 } else { 1500 } / if self.polls { 8 } else { 1 };
        self.at(t + wait, SimEvent::User(number));
    }

    pub fn user_answer(&mut self, number: u64, asked: u64, response: &Response) {
        let job = self.jobs.get_mut(&number).unwrap();
        // An answer to a request that was given up finds its connection closed.
        let Some((_, kind)) = job.asked.take_if(|(at, _)| *at == asked) else { return };
        if matches!(response.status, 503 | 599) {
            job.put_off += u32::from(kind == 2 && response.status == 503);
            return;
        }
        let sent = job.sent;
        self.judge(number, kind, (asked, sent), response);
    }

    /// The rules that an answer to a user may break, whichever of its requests it answers: one that
    /// was sent at this time, and in this event.
    pub fn judge(&mut self, number: u64, kind: u8, (asked, sent): (u64, u64), response: &Response) {
        let t = self.now_ms;
        let before = self.before(number);
        let wanted = before.iter().any(|n| self.jobs[n].asked_abort);
        let told = before.iter().filter_map(|n| self.jobs[n].cancellation_confirmed_ms).min();
        let on_machines = self.on_machines(number);
        let events = self.events;
        let mut news = false;
        let job = self.jobs.get_mut(&number).unwrap();
        job.last_good = t;
        let mut wrong = Vec::new();
        let says = ReportedStatus::of(response);
        // What had arrived before the request was sent; users compare no others.
        let known = job.told.iter().filter(|(at, _)| *at < sent).map(|(_, told)| *told).max();
        if known.is_some_and(|known| says < Some(known)) {
            let id = &job.spec.id;
            wrong.push(format!("older: {id} of kind {kind} got {says:?} after {known:?}"));
        }
        if let Some(says) = says
            && job.told.iter().all(|(_, told)| *told != says)
        {
            job.told.push((events, says));
            news = true;
        }
        if !matches!(response.status, 200 | 201) {
            wrong
                .push(format!("forgotten: {} of kind {kind} got {}", job.spec.id, response.status));
        } else {
            let view: JobView = wire::decode(&response.body).unwrap();
            job.accepted = true;
            let all_done = (0..job.spec.tasks as u32).all(|index| {
                self.finished.contains_key(&TaskId { job: job.spec.id.clone(), index })
            });
            if view.status == JobStatus::Done && (!all_done || job.spec.kind == JobKind::Service) {
                wrong.push(format!("not_done: {}", job.spec.id));
            }
            let open = matches!(view.status, JobStatus::Queued | JobStatus::Running);
            // An answer that was on its way when another one came may still say that it is open.
            let later = !open || known >= Some(ReportedStatus::Done);
            let back = later && job.told_done && view.status != JobStatus::Done
                || later
                    && job.cancellation_confirmed_ms.is_some()
                    && view.status != JobStatus::Cancelled
                || (view.status == JobStatus::Cancelled && !wanted);
            // Whoever asks after any user was told finds the job cancelled.
            if open && told.is_some_and(|at| asked > at) {
                wrong.push(format!("orphaned: {}", job.spec.id));
            }
            if back {
                wrong.push(format!("went_back: {} to {:?}", job.spec.id, view.status));
            }
            job.told_done |= view.status == JobStatus::Done;
            if view.status == JobStatus::Cancelled && job.cancellation_confirmed_ms.is_none() {
                job.cancellation_confirmed_ms = Some(t);
                job.ran_when_told = on_machines;
            }
        }
        for what in wrong {
            self.record_violation(what);
        }
        if news {
            self.send_rapid_requests(number);
        }
    }
}

impl World {
    /// All troubles have been over for long: each job is over or runs as a whole, and its user hears of it.
    pub fn check_final_state(&mut self) {
        for (number, job) in &self.jobs {
            let cancelled = job.cancellation_confirmed_ms.is_some();
            let whole = self.running(*number) as u64 == job.spec.tasks;
            let outlasts = job.spec.kind == JobKind::Service || job.spec.expect_s > 60.0;
            let what = if self.now_ms > job.last_good + 75_000 {
                "forgotten: nobody is told of it"
            } else if job.cancel_at.is_some() && !cancelled && !job.told_done {
                "it was never cancelled"
            } else if outlasts && !cancelled && !whole {
                "it does not run"
            } else if !outlasts && !cancelled && !job.told_done {
                "it is not over"
            } else {
                continue;
            };
            self.violations.push(format!("{number}: {what}"));
        }
    }
}
