//! Requests beside the usual ones: looks at all nodes within milliseconds, and odd requests. Several
//! requests of one user may be under way; answers are judged by real time alone.

use super::*;

/// What an answer told a user of a job, the newer the greater; both last ones are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    Accepted,
    Done,
    Cancelled,
}

impl Told {
    /// None: that there is no such job, or none that is well formed or can run.
    pub fn of(response: &Response) -> Option<Told> {
        if !matches!(response.status, 200 | 201) {
            return None;
        }
        let view: JobView = wire::decode(&response.body).unwrap();
        Some(match view.status {
            JobStatus::Done => Told::Done,
            JobStatus::Cancelled => Told::Cancelled,
            JobStatus::Queued | JobStatus::Running => Told::Accepted,
        })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
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
pub struct Asked {
    pub job: u64,
    pub ask: Ask,
    pub at: u64,
    pub sent: u64,
}

/// Jobs with such numbers are never submitted by anybody.
const NOBODYS: u64 = 900_000;

impl World {
    /// A user has heard news of a job.
    pub fn look_closely(&mut self, number: u64) {
        if !self.aims.close_looks {
            return;
        }
        let begins = self.jobs[&number].abort_at.is_some_and(|at| self.t >= at);
        for node in 0..self.nodes.len() {
            for round in [0, 1, 3, 8, 20, 60] {
                let at = self.t + round + self.random.random_range(0..2);
                let ask = match self.random.random_range(0..4) {
                    0 => Ask::Submit,
                    1 if begins => Ask::Abort,
                    _ => Ask::Poll,
                };
                self.look_at(at, node, number, ask);
            }
        }
    }

    /// The request leaves at that time.
    pub fn look_at(&mut self, at: u64, node: usize, job: u64, ask: Ask) {
        // The events in which it leaves and arrives are known only then.
        let asked = Asked { job, ask, at, sent: 0 };
        self.at(at, Due::Look(node, asked));
    }

    pub fn look(&mut self, node: usize, mut asked: Asked) {
        if asked.sent == 0 {
            asked.sent = self.events;
            let job = self.jobs.get_mut(&asked.job);
            if asked.ask == Ask::Abort
                && let Some(job) = job
            {
                job.asked_abort = true;
            }
            return self.soon(Due::Look(node, asked));
        }
        if self.cut_node[node] || self.down[node] || self.on_island(node) {
            return;
        }
        if self.nodes[node].is_none() {
            return self.soon(Due::LookAnswer(asked, Response::empty(599)));
        }
        let request = self.odd_or_not(&asked);
        let ticket = self.ticket(node, Ticket::Look(asked));
        self.tell(node, Event::Http(ticket, request));
    }

    fn odd_or_not(&self, asked: &Asked) -> Request {
        let id = format!("wk-{}", asked.job);
        let known = self.jobs.get(&asked.job).map(|job| &job.spec);
        let post = |body| Request { method: Method::Post, target: "/api/jobs".into(), body };
        let broken = || {
            let name = (StoreValue::from("nameId"), StoreValue::from(id.as_str()));
            post(wire::encode(&StoreValue::Map(vec![name])))
        };
        let spec = |cpus: f64| {
            let some = known.or(self.jobs.values().next().map(|job| &job.spec)).unwrap();
            let cpus = if cpus > 0.0 { cpus } else { some.cpus };
            post(wire::encode(&JobSpec { id: JobId::new(&id), cpus, ..some.clone() }))
        };
        match asked.ask {
            Ask::Submit => spec(0.0),
            Ask::Broken | Ask::BrokenNew => broken(),
            Ask::TooLarge | Ask::TooLargeNew => spec(9.0),
            Ask::Poll | Ask::PollNew => {
                Request { method: Method::Get, target: format!("/api/jobs/{id}"), body: Vec::new() }
            }
            Ask::Abort => {
                let target = format!("/api/jobs/{id}/abort");
                Request { method: Method::Post, target, body: Vec::new() }
            }
        }
    }

    pub fn look_answer(&mut self, asked: &Asked, response: &Response) {
        if matches!(response.status, 503 | 599) || self.t > asked.at + 5000 {
            return;
        }
        let expected = match asked.ask {
            Ask::BrokenNew => 400,
            Ask::TooLargeNew => 422,
            Ask::PollNew => 404,
            _ => {
                self.aims.took_effect("close looks");
                return self.judge(asked.job, 9, (asked.at, asked.sent), response);
            }
        };
        self.aims.took_effect("odd requests");
        if response.status != expected {
            self.break_rule(format!("invented: {asked:?} got {}", response.status));
        }
    }

    /// One odd request, and the next one soon.
    pub fn odd(&mut self) {
        if !self.aims.odd_requests {
            return;
        }
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted);
        let accepted: Vec<u64> = accepted.map(|(number, _)| *number).collect();
        let node = self.random.random_range(0..self.nodes.len());
        let nobodys = NOBODYS + self.events;
        let pick = self.random.random_range(0..accepted.len().max(1));
        let (job, ask) = match (self.random.random_range(0..7), accepted.get(pick)) {
            (0, _) | (_, None) => (nobodys, Ask::BrokenNew),
            (1, _) => (nobodys, Ask::TooLargeNew),
            (2, _) => (nobodys, Ask::PollNew),
            (3, Some(job)) => (*job, Ask::Broken),
            (4, Some(job)) => (*job, Ask::TooLarge),
            (5, Some(job)) => (*job, Ask::Submit),
            // What is done stays done, whoever calls it off.
            (_, Some(job)) if self.jobs[job].told_done => (*job, Ask::Abort),
            (_, Some(job)) => (*job, Ask::Poll),
        };
        if !self.jobs.is_empty() {
            self.look_at(self.t, node, job, ask);
        }
        let next = self.t + self.random.random_range(20..200);
        self.at(next, Due::Odd);
    }

    /// Calls a job off right now at some node; its user goes on until it is told.
    pub fn call_off(&mut self, number: u64, at: u64) {
        let job = self.jobs.get_mut(&number).unwrap();
        if job.abort_at.is_none_or(|abort| abort > at) {
            job.abort_at = Some(at);
            let node = self.random.random_range(0..self.nodes.len());
            self.look_at(at, node, number, Ask::Abort);
            self.at(at + 1, Due::User(number));
        }
    }
}
