//! Constants shared by several modules, each with its unit.

use std::time::Duration;
pub use troutspindle_protocol::constants::*;

/// Time limit for the response to a user's poll. Users wait 2 s for it.
pub const POLL_DEADLINE: Duration = Duration::from_millis(1600);
/// Time limit for the response to a submission or cancellation. Users wait 5 s for a submission.
pub const CHANGE_DEADLINE: Duration = Duration::from_millis(4000);
/// Base of the pauses after failed calls to the store, the cloud and peers. After a failed request to the store it is
/// lengthened by a random amount of up to a half.
pub const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Share of the rate limits of store and cloud that controllers use. The rest covers differences in their counting.
pub const RATE_LIMIT_SHARE: f64 = 0.92;
/// Maximum relative drift between two monotonic clocks: 0.05% for each clock.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Margin for packet and timer delays that is added to a worker's lease before its tasks count as stopped.
pub const WORKER_LEASE_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum number of machines in one rental request, set by the protocol.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// First pause before a failed task is retried. It doubles with each failure. Twice this value is the pause before the
/// next direct call to a worker whose last direct call failed.
pub const INITIAL_TASK_BACKOFF: Duration = Duration::from_secs(1);
/// Longest pause before a failed task is retried.
pub const MAX_TASK_BACKOFF: Duration = Duration::from_secs(30);
/// Number of different jobs that must fail on a machine while they succeed elsewhere before the machine is terminated.
/// A job also avoids up to this many machines on which it has failed.
pub const MACHINE_FAULT_JOBS: usize = 2;
/// Maximum number of tasks in a job, set by the protocol.
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// Duration of a delegated lease: the time for which another controller may answer heartbeats on the leader's behalf
/// after its last contact with the leader. It exceeds the network partitions between zones that operators observe.
pub const DELEGATED_LEASE_TTL: Duration = Duration::from_secs(45);
/// First stored format whose controllers hold a controller lease in the store and acknowledge cancellations.
pub const FORMAT_CONTROLLER_LEASES: u32 = 2;
/// First stored format whose controllers answer a worker with the raised fencing token that it reports.
pub const FORMAT_RAISED_TOKENS: u32 = 3;
/// Maximum size in bytes of a batch of relayed heartbeats or commands, estimated before encoding, to fit a frame.
pub const MAX_RELAY_BATCH_BYTES: usize = 48 * 1024;
