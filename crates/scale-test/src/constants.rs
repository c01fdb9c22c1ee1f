//! Constants of the package, each with its unit and reason.

use std::time::Duration;

/// Number of workers in one process. Its descriptors stay far below the usual limit of 20,000.
pub const WORKERS_PER_PROCESS: u32 = 700;
/// Number of descriptors that a worker may use: its listener, its heartbeat connection and direct connections.
pub const DESCRIPTORS_PER_WORKER: u64 = 5;
/// Maximum number of processes of a run, of all kinds together.
pub const PROCESSES_MAX: usize = 100;
/// Share of the machine's memory that a run may use.
pub const MEMORY_SHARE: f64 = 0.5;
/// Port of every emulated worker; workers differ by their loopback address.
pub const WORKER_PORT: u16 = 9000;
/// Public port of the first controller; further controllers use the ports after it.
pub const CONTROLLER_PORT: u16 = 18_080;
/// Port for the peers of the first controller; further controllers use the ports after it.
pub const MESH_PORT: u16 = 18_180;
/// Port of the emulated store.
pub const STATE_PORT: u16 = 18_400;
/// Port of the emulated cloud.
pub const CLOUD_PORT: u16 = 18_401;

/// Minimum pause between heartbeats that are sent because of a change, from PROTOCOL.
pub const REPORT_LEAST: Duration = Duration::from_millis(500);
/// Time that a worker waits for the answer to a heartbeat, from PROTOCOL.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before a worker tries the next controller, from PROTOCOL.
pub const NEXT_NODE_AFTER: Duration = Duration::from_secs(1);
/// Maximum time until a redirected worker sends its heartbeat to the other controller, from PROTOCOL.
pub const REDIRECT_MOST: Duration = Duration::from_millis(500);
/// Share by which the interval between heartbeats varies in both directions.
pub const REPORT_JITTER: f64 = 0.25;
/// Time after which an attempt that fails ends.
pub const FAILS_AFTER: Duration = Duration::from_millis(300);
/// Shortest and longest delay of a copy of direct commands that were executed and answered.
pub const REPEATED_AFTER: std::ops::Range<Duration> =
    Duration::from_millis(500)..Duration::from_millis(8000);
/// Size in bytes of the head of a request or response as this project writes it, from one count on the wire.
pub const HEAD_BYTES: u64 = 100;

/// Time that a user waits for the answer to a submission or cancellation, from PROTOCOL.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a user waits for the answer to a poll, from PROTOCOL.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two polls of a user, from PROTOCOL.
pub const POLL_EVERY: Duration = Duration::from_secs(5);
/// Minimum pause before a user retries a submission, from PROTOCOL.
pub const USER_RETRY: Duration = Duration::from_secs(1);
/// Time for which a user retries a submission before giving up, from PROTOCOL.
pub const SUBMIT_FOR: Duration = Duration::from_secs(60);
/// Pause between two health checks of a controller, and timeout of a check.
pub const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Maximum delay of final states in answers to users, from PROTOCOL.
pub const DONE_LAG: Duration = Duration::from_secs(3);

/// Number of changes that the emulated store keeps for watches.
pub const CHANGES_KEPT: usize = 10_000;
/// Number of rows in one page of the machine list.
pub const LIST_ROWS: usize = 500;

/// Time for which the judge queues events to put them in order; longer than the delay of any process.
pub const JUDGE_DELAY: Duration = Duration::from_millis(1500);
/// Interval between samples of processor time, memory and descriptors.
pub const SAMPLE_EVERY: Duration = Duration::from_secs(1);
/// Number of ticks per second of processor time in the kernel's statistics.
pub const CLOCK_TICKS: f64 = 100.0;
/// Maximum time from the start of the controllers to their first answer.
pub const START_WITHIN: Duration = Duration::from_secs(30);
/// Time beyond the planned time of a run after which it is ended by force.
pub const RUN_SLACK: Duration = Duration::from_secs(60);
