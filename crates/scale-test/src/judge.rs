//! Independent check of PROTOCOL's rules. The judge knows the actions of workers and the answers to users, and
//! nothing of the controllers.
//!
//! Events of several processes arrive late and out of order. They are queued for [`JUDGE_DELAY`] and judged in
//! order of their time.

use crate::constants::JUDGE_DELAY;
use crate::link::{Happening, WorkerEvent};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use troutspindle_protocol::ids::{Attempt, FencingToken, JobId, MachineId, TaskId};

/// State of a job in an answer to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    Accepted,
    Done,
    Cancelled,
    /// Status 404, or 400 or 422 for a job that had been accepted.
    Unknown,
}

/// Properties of a submitted job that the rules depend on.
#[derive(Debug, Clone)]
pub struct JobRules {
    pub id: JobId,
    pub class: usize,
    pub team: usize,
    pub tasks: u64,
    pub cpus: f64,
    pub service: bool,
    pub spot: bool,
    /// Time of the submission, in microseconds.
    pub submitted_us: u64,
}

/// Input of the judge.
#[derive(Debug, Clone)]
pub enum JudgeEvent {
    Submitted(JobRules),
    /// A machine that is up; the flag is true for a spot machine.
    Machine(MachineId, bool),
    Worker(WorkerEvent),
    /// End of a machine and of every task on it, with the time in microseconds.
    MachineEnded(MachineId, u64),
    Told(JobId, Told, u64),
}

/// One violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub text: String,
}

struct Job {
    rules: JobRules,
    first_ready_us: Option<u64>,
    ready: u64,
    completed: u64,
    accepted: bool,
    done: bool,
    cancelled_us: Option<u64>,
    cancelled_checked: bool,
}

/// Sort key of queued events: time, then order of arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    at_us: u64,
    arrival: u64,
}

/// State that results from the events judged so far, with the violations found.
pub struct Judge {
    cancel_us: u64,
    /// Maximum CPUs of each team; 0 means no limit.
    limits: Vec<f64>,
    used: Vec<f64>,
    jobs: HashMap<JobId, Job>,
    spot: HashMap<MachineId, bool>,
    /// Machine and attempt of each running task.
    placed: HashMap<TaskId, (MachineId, Attempt)>,
    on_machine: HashMap<MachineId, BTreeMap<TaskId, Attempt>>,
    queue: BinaryHeap<Reverse<(Position, usize)>>,
    events: HashMap<usize, JudgeEvent>,
    arrivals: u64,
    judged_us: u64,
    /// Each leader's fencing token, with the time of the first start under it in microseconds.
    pub terms: Vec<(FencingToken, u64)>,
    pub violations: Vec<Violation>,
    /// Number of events that arrived after a later event had been judged.
    pub late: u64,
    /// Times of all starts, from which the rate of a period is computed.
    pub starts_us: Vec<u64>,
    /// Milliseconds from submission to the first start, by class.
    pub first_start_ms: BTreeMap<usize, Histogram<u64>>,
}

impl Judge {
    /// Creates a judge for teams with these limits. Tasks of a cancelled job must end within `cancel_s` seconds.
    pub fn new(limits: Vec<f64>, cancel_s: f64) -> Judge {
        Judge {
            cancel_us: (cancel_s * 1e6) as u64,
            used: vec![0.0; limits.len()],
            limits,
            jobs: HashMap::new(),
            spot: HashMap::new(),
            placed: HashMap::new(),
            on_machine: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            arrivals: 0,
            judged_us: 0,
            terms: Vec::new(),
            violations: Vec::new(),
            late: 0,
            starts_us: Vec::new(),
            first_start_ms: BTreeMap::new(),
        }
    }

    /// Returns the number of tasks on machines.
    pub fn running(&self) -> usize {
        self.placed.len()
    }

    /// Accepts an event. Submissions and machines take effect at once, all other events are queued by time.
    pub fn take(&mut self, event: JudgeEvent) {
        let at_us = match &event {
            // A submission applies from the start, whenever its event arrives.
            JudgeEvent::Submitted(rules) => rules.submitted_us.min(self.judged_us),
            JudgeEvent::Machine(..) => self.judged_us,
            JudgeEvent::Worker(event) => event.at_us,
            JudgeEvent::MachineEnded(_, at_us) | JudgeEvent::Told(_, _, at_us) => *at_us,
        };
        let immediate = matches!(event, JudgeEvent::Submitted(_) | JudgeEvent::Machine(..));
        if immediate {
            return self.judge(event);
        }
        self.late += u64::from(at_us < self.judged_us);
        self.arrivals += 1;
        let index = self.arrivals as usize;
        let position = Position { at_us, arrival: self.arrivals };
        self.queue.push(Reverse((position, index)));
        self.events.insert(index, event);
    }

    /// Judges all queued events that are at least [`JUDGE_DELAY`] old.
    pub fn advance(&mut self, now_us: u64) {
        let until = now_us.saturating_sub(JUDGE_DELAY.as_micros() as u64);
        while let Some(Reverse((position, _))) = self.queue.peek()
            && position.at_us <= until
        {
            let Some(Reverse((position, index))) = self.queue.pop() else { return };
            self.judged_us = self.judged_us.max(position.at_us);
            if let Some(event) = self.events.remove(&index) {
                self.judge(event);
            }
        }
        self.check_cancelled(until);
    }

    fn record_violation(&mut self, rule: &'static str, text: String) {
        self.violations.push(Violation { rule, text });
    }

    fn judge(&mut self, event: JudgeEvent) {
        match event {
            JudgeEvent::Submitted(rules) => {
                let job = Job {
                    first_ready_us: None,
                    ready: 0,
                    completed: 0,
                    accepted: false,
                    done: false,
                    cancelled_us: None,
                    cancelled_checked: false,
                    rules,
                };
                self.jobs.insert(job.rules.id.clone(), job);
            }
            JudgeEvent::Machine(machine, spot) => drop(self.spot.insert(machine, spot)),
            JudgeEvent::Worker(event) => match event.what {
                Happening::Ready(task, attempt) => {
                    self.on_ready(event.at_us, event.machine, task, attempt);
                }
                Happening::Ended(task, attempt, completed) => {
                    self.on_ended(&event.machine, &task, attempt, completed);
                }
            },
            JudgeEvent::MachineEnded(machine, _) => {
                let tasks = self.on_machine.remove(&machine).unwrap_or_default();
                for (task, attempt) in tasks {
                    self.remove_task(&machine, &task, attempt);
                }
            }
            JudgeEvent::Told(job, told, at_us) => self.on_answer(&job, told, at_us),
        }
    }

    fn on_ready(&mut self, at_us: u64, machine: MachineId, task: TaskId, attempt: Attempt) {
        self.starts_us.push(at_us);
        if self.terms.last().is_none_or(|(last, _)| *last < attempt.token()) {
            self.terms.push((attempt.token(), at_us));
        }
        if let Some((other, _)) = self.placed.get(&task)
            && *other != machine
        {
            let text = format!("{task} starts on {machine} and is on {other}");
            self.record_violation("ran_twice", text);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.record_violation("invented", format!("{task} is of no job"));
        };
        job.ready += 1;
        let rules = job.rules.clone();
        if job.first_ready_us.is_none() {
            job.first_ready_us = Some(at_us);
            let waited_ms = at_us.saturating_sub(rules.submitted_us) / 1000;
            let histogram = self.first_start_ms.entry(rules.class);
            let new = || Histogram::new(3).unwrap_or_else(|_| unreachable!());
            let _ = histogram.or_insert_with(new).record(waited_ms);
        }
        let late = job.cancelled_us.is_some_and(|cancelled| at_us > cancelled + self.cancel_us);
        if late {
            self.record_violation("ran_cancelled", format!("{task} starts after its cancellation"));
        }
        if !rules.spot && self.spot.get(&machine).copied().unwrap_or(false) {
            self.record_violation("wrong_place", format!("{task} on the spot machine {machine}"));
        }
        if let Some((previous, previous_attempt)) = self.placed.remove(&task) {
            self.placed.insert(task.clone(), (previous.clone(), previous_attempt));
            self.remove_task(&previous, &task, previous_attempt);
        }
        self.placed.insert(task.clone(), (machine.clone(), attempt));
        self.on_machine.entry(machine).or_default().insert(task.clone(), attempt);
        self.used[rules.team] += rules.cpus;
        let limit = self.limits[rules.team];
        if limit > 0.0 && self.used[rules.team] > limit + 1e-6 {
            let text = format!("team {} uses {} of {limit}", rules.team, self.used[rules.team]);
            self.record_violation("quota", text);
        }
    }

    fn on_ended(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt, completed: bool) {
        self.remove_task(machine, task, attempt);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.completed += u64::from(completed);
        }
    }

    fn remove_task(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(tasks) = self.on_machine.get_mut(machine) {
            tasks.remove(task);
        }
        if self.placed.get(task).is_some_and(|at| at.0 == *machine && at.1 == attempt) {
            self.placed.remove(task);
            if let Some(job) = self.jobs.get(&task.job) {
                self.used[job.rules.team] -= job.rules.cpus;
            }
        }
    }

    fn on_answer(&mut self, id: &JobId, answer: Told, at_us: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut violations = Vec::new();
        match answer {
            Told::Accepted => {
                if job.done || job.cancelled_us.is_some() {
                    violations.push(("went_back", format!("{id} is open again")));
                }
                job.accepted = true;
            }
            Told::Done => {
                if job.completed < job.rules.tasks || job.rules.service {
                    let text = format!("{id}: {} of {} completed", job.completed, job.rules.tasks);
                    violations.push(("not_done", text));
                }
                if job.cancelled_us.is_some() {
                    violations.push(("went_back", format!("{id} was cancelled and is done")));
                }
                job.done = true;
            }
            Told::Cancelled => {
                if job.done {
                    violations.push(("went_back", format!("{id} was done and is cancelled")));
                }
                job.cancelled_us.get_or_insert(at_us);
            }
            Told::Unknown => {
                if job.accepted {
                    violations.push(("forgotten", format!("{id} is not known")));
                }
            }
        }
        for (rule, text) in violations {
            self.record_violation(rule, text);
        }
    }

    /// Records a violation for each task that is still on a machine after its job's deadline for cancellation.
    fn check_cancelled(&mut self, until_us: u64) {
        let cancel_us = self.cancel_us;
        let mut expired_jobs = Vec::new();
        for (id, job) in &mut self.jobs {
            let expired =
                job.cancelled_us.is_some_and(|cancelled| until_us > cancelled + cancel_us);
            if expired && !job.cancelled_checked {
                job.cancelled_checked = true;
                expired_jobs.push(id.clone());
            }
        }
        if expired_jobs.is_empty() {
            return;
        }
        let left: Vec<TaskId> =
            self.placed.keys().filter(|task| expired_jobs.contains(&task.job)).cloned().collect();
        for task in left {
            self.record_violation("ran_cancelled", format!("{task} is still on a machine"));
        }
    }
}

#[cfg(test)]
#[path = "judge_tests.rs"]
mod tests;
