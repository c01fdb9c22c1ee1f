//! Constants that several modules share, each with its unit.

use std::time::Duration;
pub use troutspindle_protocol::constants::*;

/// How long a user's request may take inside; users give a poll 2 s and a submission 5 s.
pub const USER_DEADLINE: Duration = Duration::from_millis(1600);
/// How long a submission or an abort may take inside.
pub const CHANGE_DEADLINE: Duration = Duration::from_millis(4000);
/// Pause after a failed call to the state service, grown by a random half.
pub const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Share of the state service's budget that we plan to use; the rest is for its own counting.
pub const RATE_LIMIT_SHARE: f64 = 0.92;
/// Share by which two steady clocks may disagree: 0.05% each side.
pub const DRIFT: f64 = 0.001;
/// Added to a worker's lease before its tasks count as dead: packet and timer delays.
pub const WORKER_MARGIN: Duration = Duration::from_millis(1500);
/// Count. PROTOCOL's cap on machines in one rental.
pub const HIRE_MAX: u32 = 50;
/// First pause before a failed task is tried again; doubles with each failure.
pub const RETRY_FIRST: Duration = Duration::from_secs(1);
/// Longest such pause.
pub const RETRY_MOST: Duration = Duration::from_secs(30);
/// Count. Different jobs that do well elsewhere and must fail on one machine before it is given
/// back; a job also avoids so many machines on which it failed.
pub const MACHINE_FAULT_JOBS: usize = 2;
/// Count. PROTOCOL's cap on the tasks of a job.
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// How long another controller may answer reports on a leader's behalf after it last heard from
/// it: longer than the cuts between zones that operators see.
pub const DELEGATION_TERM: Duration = Duration::from_secs(45);
/// From this format on controllers show heartbeats and promise to stop what is to be cancelled.
pub const FORMAT_HEARTBEAT: u32 = 2;
/// Bytes. A batch, as reckoned before it is encoded: within the limit of a frame.
pub const RELAY_FRAME: usize = 48 * 1024;
