use super::{FailureAttribution, JOB_FAULT_MACHINES};
use crate::constants::MAX_TASK_BACKOFF;
use crate::ids::MachineId;
use tokio::time::Instant;

fn machine(n: usize) -> MachineId {
    MachineId::new(&format!("i-{n}"))
}

#[test]
fn job_that_fails_everywhere_is_retried_with_backoff_until_it_succeeds() {
    let mut attribution = FailureAttribution::default();
    let mut now = Instant::now();
    for n in 0..JOB_FAULT_MACHINES - 1 {
        attribution.record_failure(&machine(n), now);
        attribution.record_failure(&machine(n), now);
        assert_eq!(attribution.allowed_starts(5, now), Ok(usize::MAX));
    }
    // Failures of tasks that were already running when the job was found faulty do not change the pause.
    for n in 0..9 {
        attribution.record_failure(&machine(n), now);
    }
    assert!(attribution.is_job_faulty());
    let mut trials = 0;
    let end = now + MAX_TASK_BACKOFF * 10;
    while now < end {
        match attribution.allowed_starts(0, now) {
            Ok(allowed) => {
                assert_eq!(allowed, 1);
                assert_eq!(attribution.allowed_starts(1, now), Err(None));
                trials += 1;
                attribution.record_failure(&machine(trials % 3), now);
            }
            Err(due) => now = due.unwrap(),
        }
    }
    assert!((10..=16).contains(&trials), "{trials}");
    assert!(attribution.record_success());
    assert_eq!(attribution.allowed_starts(1, now), Ok(usize::MAX));
    // All further failures are attributed to the machines.
    for n in 0..9 {
        attribution.record_failure(&machine(n), now);
    }
    assert!(attribution.has_succeeded() && !attribution.is_job_faulty());
}
