//! Tests that the judge reports each kind of violation, and none in a correct run.

use super::*;
use crate::link::WorkerEvent;

const SECOND: u64 = 1_000_000;

fn judge() -> Judge {
    let mut judge = Judge::new(vec![4.0], 50.0);
    let rules = JobRules {
        id: JobId::new("wk-1"),
        class: 0,
        team: 0,
        tasks: 2,
        cpus: 2.0,
        service: false,
        spot: false,
        submitted_us: SECOND,
    };
    judge.take(JudgeEvent::Submitted(rules.clone()));
    judge.take(JudgeEvent::Submitted(JobRules { id: JobId::new("wk-2"), ..rules }));
    for (name, spot) in [("i-1", false), ("i-2", false), ("i-3", true)] {
        judge.take(JudgeEvent::Machine(MachineId::new(name), spot));
    }
    judge
}

fn at(seconds: u64, machine: &str, what: Happening) -> JudgeEvent {
    let machine = MachineId::new(machine);
    JudgeEvent::Worker(WorkerEvent { at_us: seconds * SECOND, machine, what })
}

fn ready(seconds: u64, machine: &str, task: &str) -> JudgeEvent {
    at(seconds, machine, Happening::Ready(TaskId::parse(task).unwrap(), Attempt(seconds)))
}

fn ended(seconds: u64, machine: &str, task: &str, attempt: u64) -> JudgeEvent {
    let task = TaskId::parse(task).unwrap();
    at(seconds, machine, Happening::Ended(task, Attempt(attempt), true))
}

fn rules(events: Vec<JudgeEvent>) -> Vec<&'static str> {
    let mut judge = judge();
    events.into_iter().for_each(|event| judge.take(event));
    judge.advance(1000 * SECOND);
    judge.violations.iter().map(|violation| violation.rule).collect()
}

#[test]
fn correct_run_has_no_violations_when_events_arrive_out_of_order() {
    let told = JudgeEvent::Told(JobId::new("wk-1"), Told::Done, 9 * SECOND);
    let events = vec![
        told,
        ended(5, "i-1", "wk-1/0", 2),
        ready(6, "i-2", "wk-1/1"),
        ready(2, "i-1", "wk-1/0"),
        ended(8, "i-2", "wk-1/1", 6),
    ];
    assert_eq!(rules(events), Vec::<&str>::new());
}

#[test]
fn each_violation_is_reported_under_its_rule() {
    assert_eq!(rules(vec![ready(2, "i-1", "wk-1/0"), ready(3, "i-2", "wk-1/0")]), ["ran_twice"]);
    let tasks = ["wk-1/0", "wk-1/1", "wk-2/0"];
    let starts = tasks.iter().zip(2..).map(|(task, at)| ready(at, "i-1", task)).collect();
    assert_eq!(rules(starts), ["quota"]);
    assert_eq!(rules(vec![ready(2, "i-3", "wk-1/0")]), ["wrong_place"]);
    let told = |told, at| JudgeEvent::Told(JobId::new("wk-1"), told, at * SECOND);
    assert_eq!(rules(vec![told(Told::Done, 3)]), ["not_done"]);
    let cancelled = vec![ready(2, "i-1", "wk-1/0"), told(Told::Cancelled, 3)];
    assert_eq!(rules(cancelled), ["ran_cancelled"]);
    let reopened = vec![told(Told::Cancelled, 3), told(Told::Accepted, 4)];
    assert_eq!(rules(reopened), ["went_back"]);
    assert_eq!(rules(vec![told(Told::Accepted, 3), told(Told::Unknown, 4)]), ["forgotten"]);
    assert_eq!(rules(vec![ready(2, "i-1", "wk-9/0")]), ["invented"]);
}

#[test]
fn tasks_of_ended_machine_may_start_elsewhere() {
    let machine_ended = JudgeEvent::MachineEnded(MachineId::new("i-1"), 3 * SECOND);
    let events = vec![ready(2, "i-1", "wk-1/0"), machine_ended, ready(4, "i-2", "wk-1/0")];
    assert_eq!(rules(events), Vec::<&str>::new());
}
