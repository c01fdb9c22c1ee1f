//! Every constant of the package, each with its unit and reason.

use std::time::Duration;

/// Count. Workers in one process: its descriptors stay far below the usual limit of 20,000.
pub const WORKERS_PER_PROCESS: u32 = 700;
/// Count. Descriptors that a worker may take up: its listener, its report connection, direct connections.
pub const DESCRIPTORS_PER_WORKER: u64 = 5;
/// Count. Processes of all kinds that a run may start.
pub const PROCESSES_MAX: usize = 100;
/// Share of the machine's memory that a run may take up.
pub const MEMORY_SHARE: f64 = 0.5;
/// Port of every emulated worker; they differ by their loopback address.
pub const WORKER_PORT: u16 = 9000;
/// Ports of the first controller: public and mesh; the next ones follow.
pub const CONTROLLER_PORT: u16 = 18_080;
pub const MESH_PORT: u16 = 18_180;
pub const STATE_PORT: u16 = 18_400;
pub const CLOUD_PORT: u16 = 18_401;

/// PROTOCOL's pause between reports that are sent since something changed.
pub const REPORT_LEAST: Duration = Duration::from_millis(500);
/// PROTOCOL: a worker waits so long for the answer to a report.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// PROTOCOL: and so long before it tries the next controller.
pub const NEXT_NODE_AFTER: Duration = Duration::from_secs(1);
/// PROTOCOL: a redirected worker reports elsewhere within this time.
pub const REDIRECT_MOST: Duration = Duration::from_millis(500);
/// Share by which the interval between reports varies.
pub const REPORT_JITTER: f64 = 0.25;
/// Bytes. Head of a request or a response as this project writes it, counted on the wire once.
pub const HEAD_BYTES: u64 = 100;

/// PROTOCOL: what users wait for a submission and a poll, and their pauses.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
pub const POLL_TIMEOUT: Duration = Duration::from_secs(2);
pub const POLL_EVERY: Duration = Duration::from_secs(5);
pub const USER_RETRY: Duration = Duration::from_secs(1);
/// PROTOCOL: a submission is given up after a minute of retries.
pub const SUBMIT_FOR: Duration = Duration::from_secs(60);
/// Pause between two health checks of a controller, and their timeout.
pub const PROBE_EVERY: Duration = Duration::from_secs(1);
/// PROTOCOL: final states may lag by this much.
pub const DONE_LAG: Duration = Duration::from_secs(3);

/// Count. Changes that the state service keeps for follows.
pub const CHANGES_KEPT: usize = 10_000;
/// Count. Rows of one page of the machine list.
pub const LIST_ROWS: usize = 500;

/// How long events wait to be put in order before they are judged: longer than any process is late.
pub const JUDGE_DELAY: Duration = Duration::from_millis(1500);
/// Pause between two looks at processor time, memory and descriptors.
pub const SAMPLE_EVERY: Duration = Duration::from_secs(1);
/// Count. Ticks of processor time in a second in the kernel's statistics.
pub const CLOCK_TICKS: f64 = 100.0;
/// How long controllers may take to answer after they were started.
pub const START_WITHIN: Duration = Duration::from_secs(30);
/// Added to a run's planned time before it is ended by force.
pub const RUN_SLACK: Duration = Duration::from_secs(60);
