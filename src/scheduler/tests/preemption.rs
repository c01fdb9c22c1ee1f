//! Tasks that are stopped for more urgent work.

use super::fixture::{TestLeader, task_statuses};
use crate::ids::MachineId;
use crate::jobs::JobBody;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::scheduler::preemption::MISSING_IMAGE_COST_S;
use crate::wire::{JobKind, Priority, TaskState};
use crate::workers::machine::Machine;
use std::sync::Arc;
use std::time::Duration;

/// An image at hand is no reason to throw minutes of work away: an array once lost 242 s.
#[test]
fn preemption_prefers_the_smallest_loss_even_without_the_image() {
    let mut bench = TestLeader::new();
    let fill = |bench: &mut TestLeader, machine: &str, id: &str, image: &str| {
        bench.report(machine, vec![]);
        bench.job(id, JobKind::Array, 4);
        bench.pass(MIN_PASS_INTERVAL * 5);
        let orders = bench.report(machine, vec![]);
        let shown = task_statuses(&orders, TaskState::Running);
        assert_eq!(shown.len(), 4);
        bench.report(machine, shown.clone());
        let known = bench.scheduler.fleet.machines.get_mut(&MachineId::new(machine)).unwrap();
        known.images = vec![Arc::from(image)];
        known.image_ids = Default::default();
        shown
    };
    let first = fill(&mut bench, "i-1", "wk-1", "i");
    let long = Duration::from_secs_f64(MISSING_IMAGE_COST_S * 2.0);
    for entry in bench.scheduler.fleet.machines.values_mut().flat_map(|m| m.attempts.values_mut()) {
        entry.running_since = bench.now.checked_sub(long);
    }
    fill(&mut bench, "i-2", "wk-2", "other");
    bench.report("i-1", first);
    let id = bench.job("wk-3", JobKind::Service, 1);
    let Some(job) = bench.store.cache.jobs.all.get_mut(&id) else { panic!() };
    let JobBody::Live(live) = &mut job.body else { panic!() };
    Arc::make_mut(&mut live.spec).priority = Priority::Production;
    bench.pass(MIN_PASS_INTERVAL * 5);
    let stopped = |machine: &Machine| machine.attempts.values().any(|e| e.stop.is_some());
    let stopped: Vec<_> = bench.scheduler.fleet.machines.values().map(stopped).collect();
    assert_eq!(stopped, [false, true]);
}
