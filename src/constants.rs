//! Constants that several modules share, each with its unit.

use std::time::Duration;
pub use troutspindle_protocol::constants::*;

/// What a call to a worker takes of a whole core, with the connection that it may need.
pub const CALL_COST: Duration = Duration::from_micros(200);
/// Share of its allowance with which a new leader asks machines whether they have seen its token: most report by
/// themselves meanwhile, and each that does need not be asked.
pub const CONFIRM_SHARE: f64 = 0.4;
/// Seconds. Such calls that may go at once.
pub const CONFIRM_BURST_S: f64 = 0.2;
/// How long a user's request may take inside; users give a poll 2 s and a submission 5 s.
pub const USER_DEADLINE: Duration = Duration::from_millis(1600);
/// How long a submission or an abort may take inside.
pub const CHANGE_DEADLINE: Duration = Duration::from_millis(4000);
/// How long marks of tasks of jobs that go on wait for others: one write carries all of a job's that
/// have come, and each write is read by every controller.
pub const MARKS_EVERY: Duration = Duration::from_millis(1000);
/// Pause after a failed call to the state service, grown by a random half.
pub const STATE_RETRY: Duration = Duration::from_millis(250);
/// Share of the state service's budget that we plan to use; the rest is for its own counting.
pub const STATE_BUDGET: f64 = 0.92;
/// Count. Writes of tidying up in one transaction: few, so that they hold up nothing.
pub const TIDY_WRITES: usize = 4;
/// Pause between two such transactions.
pub const TIDY_EVERY: Duration = Duration::from_millis(1000);
/// A submission of many parts that was not finished within this time is given up, and its parts are
/// removed: users repeat a submission for a minute.
pub const ORPHAN_AFTER: Duration = Duration::from_secs(180);
/// Share by which two steady clocks may disagree: 0.05% each side.
pub const DRIFT: f64 = 0.001;
/// Count. PROTOCOL starts a worker's sessions at this.
pub const FIRST_AGENT_EPOCH: u64 = 1;
/// A report is late after so many of its intervals: PROTOCOL varies each by a quarter.
pub const REPORT_LATE: f64 = 1.25;
/// Added to the above: a lost packet and its resend.
pub const REPORT_LATE_MORE: Duration = Duration::from_millis(1000);
/// A machine that answers nobody is given back at once if waiting for the end of its lease would take
/// longer than this: about twice what its tasks take to start elsewhere, with an image.
pub const LOST_WORTH: Duration = Duration::from_secs(8);
/// The same for replicas on a machine that may be cut off alone: they run on until its lease ends, and
/// being given back costs them a start. Where leases are short, waiting is the smaller loss.
pub const LOST_REPLICAS_WORTH: Duration = Duration::from_secs(15);
/// For so long after a late tick a process takes no silence for anybody's death.
pub const BEHIND_FOR: Duration = Duration::from_secs(3);
/// Added to a worker's lease before its tasks count as dead: packet and timer delays.
pub const WORKER_MARGIN: Duration = Duration::from_millis(1500);
/// How much longer than it may a task of a job that is over counts against its team under a new leader: two
/// controllers' times of day differ by less, and a transaction waits less for its turn.
pub const REST_SLACK: Duration = Duration::from_secs(10);
/// Seconds of repeated work by which a task of an elastic job is spared that is no wider than its least.
pub const LEAST_WIDTH_S: f64 = 600.0;
/// Seconds. Within which arrays are to be done that have no aim at their end, where work is reckoned up.
pub const DONE_WITHIN_S: f64 = 300.0;
/// Times such an aim within which a backlog is to be worked off while room is scarce: within the aim itself it would
/// take all room from services for what is late already.
pub const LATE_WITHIN: f64 = 3.0;
/// Share of what arrays need that is reckoned while room is scarce: what they miss now they can have later, what a
/// service misses is lost.
pub const ARRAYS_NOW: f64 = 0.7;
/// For how long at the most a new leader takes room to be scarce, where more is asked for than there is and the
/// cloud has told it nothing yet: its first list and its first rentals take so long.
pub const PRESUMED_FOR: Duration = Duration::from_secs(15);
/// Pause between two rounds of moves off what is drained.
pub const DRAIN_EVERY: Duration = Duration::from_secs(1);
/// Seconds. A task that saves is told so much earlier than its time is up: for the command and its report.
pub const DRAIN_MARGIN_S: f64 = 5.0;
/// Count. Estimates found anew before a planning pass, some ten microseconds each: eight passes a second take
/// a fortieth of a small controller's allowance.
pub const ESTIMATES_A_PASS: usize = 30;
/// How old an estimate may be that decisions use.
pub const ESTIMATE_FRESH: Duration = Duration::from_secs(5);
/// Seconds. A task that ran before and is done within this time only gave its result again.
pub const RESULT_AGAIN_S: f64 = 1.0;
/// Seconds. What will end by itself this soon is not stopped for its room: stopping and reporting takes as
/// long.
pub const ENDS_SOON_S: f64 = 3.0;
/// Count. Jobs looked at in one round, five a second, for whether they will be late: each takes up to a
/// quarter of a millisecond.
pub const WARN_LOOKS: usize = 3;
/// Probability of being late from which on a job is warned of: more than one in ten warnings would be
/// wrong below it, in replayed histories.
pub const WARN_FROM: f64 = 0.9;
/// Probability from which on it stands in the list that operators ask for.
pub const AT_RISK_FROM: f64 = 0.5;
/// Count. Tasks that must have ended before a job of which nothing else is known is warned of.
pub const WARN_TASKS: u32 = 3;
/// Count. PROTOCOL's cap on machines in one rental.
pub const HIRE_MAX: u32 = 50;
/// How long a type, zone and kind that refused a rental is left alone.
pub const CAPACITY_REST: Duration = Duration::from_secs(6);
/// Count. Machines asked for, at first, of a kind that refused: what is booked on machines that
/// there are not waits for nothing, while other kinds have some.
pub const CAPACITY_PROBE: u32 = 2;
/// How much more is asked for with each request of such a kind that is filled.
pub const CAPACITY_GROWTH: u32 = 4;
/// A machine that is not up after this many times its nominal boot time is given back.
pub const BOOT_PATIENCE: f64 = 3.0;
/// Added to the above.
pub const BOOT_PATIENCE_MORE: Duration = Duration::from_secs(20);
/// A machine that is not up after this many times its nominal boot time is overdue.
pub const BOOT_OVERDUE: f64 = 1.8;
/// Added to the above.
pub const BOOT_OVERDUE_MORE: Duration = Duration::from_secs(2);
/// Count. Overdue machines from which on all are taken to come late.
pub const LATE_TOGETHER: usize = 3;
/// Most machines are up, with an image, within this many times their nominal boot time.
pub const BOOT_USUAL: f64 = 1.5;
/// A new leader waits this long before it rents, so that its first listing can tell what its
/// predecessor rented.
pub const HIRE_SETTLE: Duration = Duration::from_millis(1500);
/// Pause between two looks at what silence and age do to machines.
pub const WATCH_EVERY: Duration = Duration::from_millis(200);
/// Longest pause between two planning rounds when nothing asks for one.
pub const PLAN_IDLE: Duration = Duration::from_millis(1000);
/// Shortest pause between two planning rounds.
pub const PLAN_EVERY: Duration = Duration::from_millis(120);
/// Longest pause between two passes that are asked for while no task waits: they keep room warm, book what is drained
/// and look whether room is scarce.
pub const PLAN_WHOLE: Duration = Duration::from_millis(480);
/// Count. A pass is followed by a pause so many times as long as it took, if that is more.
pub const PLAN_PAUSE: u32 = 4;
/// Starts a second of least urgent tasks: at first, and at the least and most. Ten keep an array
/// going; thousands of tasks of a few seconds only fill reports, which a new leader has to read
/// all at once.
pub const LOW_RATE_FIRST: f64 = 100.0;
pub const LOW_RATE_LEAST: f64 = 10.0;
pub const LOW_RATE_MOST: f64 = 250.0;
/// By how many a second that rate grows with each look at which the process was not late.
pub const LOW_RATE_STEP: f64 = 5.0;
/// Pause between two such looks.
pub const PACE_EVERY: Duration = Duration::from_millis(250);
/// A tick this late shows that the process falls behind.
pub const LATE: Duration = Duration::from_millis(150);
/// What each stage of a pipeline takes besides its run time and its image: a report, a commit, a
/// plan and a start, with room for a lost packet.
pub const STAGE_MORE: Duration = Duration::from_secs(3);
/// First pause before a failed task is tried again; doubles with each failure.
pub const RETRY_FIRST: Duration = Duration::from_secs(1);
/// Longest such pause.
pub const RETRY_MOST: Duration = Duration::from_secs(30);
/// Count. Different jobs that do well elsewhere and must fail on one machine before it is given
/// back; a job also avoids so many machines on which it failed.
pub const FAULTY_JOBS: usize = 2;
/// A task that ran this long shows that its job does well: mistakes show at once.
pub const PROVEN_AFTER: Duration = Duration::from_secs(10);
/// Count. PROTOCOL's cap on the tasks of a job.
pub const LEGS_MAX: u64 = 100_000;
/// How long another controller may answer reports on a leader's behalf after it last heard from
/// it: longer than the cuts between zones that operators see.
pub const DELEGATION_TERM: Duration = Duration::from_secs(45);
/// Pause between two rounds of moves that empty machines, so that each shows its effect.
pub const CONSOLIDATE_EVERY: Duration = Duration::from_secs(10);
/// Share of all running replicas that one round may move; a round that moves less empties one
/// machine all the same. A move takes a replica a fraction of a second.
pub const MOVE_SHARE: f64 = 0.02;
/// The same for tasks that save their progress when they are stopped: they lose a few seconds.
pub const SAVED_MOVE_SHARE: f64 = 0.1;
/// Count. Machines that one round of moves looks at, the least used ones, to bound its time.
pub const EMPTIED_LOOKS: usize = 60;
/// A task is moved only after it ran this long: users count a start that is undone within
/// half a minute as none.
pub const MOVE_AFTER: Duration = Duration::from_secs(45);
/// A machine is emptied only if at most this share of it is used.
pub const EMPTY_BELOW: f64 = 0.55;
/// Seconds. Work that less urgent tasks may have to repeat so that an urgent one starts where its
/// image is: a fetch takes a few seconds, and an array that repeats minutes of work ends late.
pub const IMAGE_WORTH_S: f64 = 30.0;
/// How long idle-time work keeps off a machine that more urgent work left: a task that takes the
/// room at once is stopped again by the next urgent one, and loses half a checkpoint's time.
pub const VACATED: Duration = Duration::from_secs(5);
/// Share of the tightest aim at start that may go by while a task that makes way saves; beyond it
/// the task ends at once and goes back to its last checkpoint.
pub const SAVE_SHARE: f64 = 0.25;
/// A fetch that takes more than this share of the tightest aim at start is worth stopping less
/// urgent work for, where a machine has the image.
pub const FETCH_SHARE: f64 = 0.8;
/// From this format on controllers show heartbeats and promise to stop what is to be cancelled.
pub const FORMAT_HEARTBEAT: u32 = 2;
/// Bytes. A batch, as reckoned before it is encoded: within the limit of a frame.
pub const RELAY_FRAME: usize = 48 * 1024;
