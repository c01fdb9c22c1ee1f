//! Job descriptions for unit tests of this and other modules.

use crate::ids::JobId;
use crate::wire::{JobKind, JobSpec, Priority};

/// Returns a job array whose tasks request one CPU and 1 GB of memory each.
pub(crate) fn job_spec(id: &str, tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::new(id),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expect_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
        depends_on: None,
    }
}
