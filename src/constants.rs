//! Every constant of the program, each with its unit and the reason for its value.
//! What operators may change lives in [`crate::settings::Operator`]; its defaults are here too.

use std::time::Duration;
pub use troutspindle_protocol::constants::*;

/// Share of the platform's socket limit that the public listener may hold; the rest is for the
/// mesh and our own calls, which need more only while few workers report here.
pub const PUBLIC_SOCKET_SHARE: f64 = 0.88;
/// Share of those that machines rented may take up: a twentieth is for workers that change over while
/// their old connections are not closed yet, for health checks, and for users who have nobody else.
pub const MACHINE_SOCKET_SHARE: f64 = 0.95;
/// Share of the platform's socket limit that nothing else may take: the mesh, the state service, the cloud.
pub const KEPT_SOCKET_SHARE: f64 = 0.03;
/// Share of the platform's socket limit for calls to workers under way, however many connections are open.
pub const DIRECT_SOCKET_LEAST: f64 = 0.04;
/// What a request or a report takes of a whole core, with its packets: measured over days of all sizes.
pub const REQUEST_COST: Duration = Duration::from_micros(160);
/// What a call to a worker takes of a whole core, with the connection that it may need.
pub const CALL_COST: Duration = Duration::from_micros(200);
/// Requests are read and not handled for so long at the most, by what they cost and what this controller is allowed.
pub const READ_AHEAD: Duration = Duration::from_millis(100);
/// Count. And at least so many at once.
pub const READ_LEAST: usize = 16;
/// Share of its allowance with which a new leader asks machines whether they have seen its token: most report by
/// themselves meanwhile, and each that does need not be asked.
pub const CONFIRM_SHARE: f64 = 0.4;
/// Seconds. Such calls that may go at once.
pub const CONFIRM_BURST_S: f64 = 0.2;
/// Count. Calls to workers under way at the most while a leader of many machines is behind: a call opens a connection
/// and costs several times what an answer to a report does, which carries the same orders some seconds later.
pub const DIRECT_BEHIND: usize = 16;
/// Shares of public sockets that machines take up from which on a leader sends its users to other
/// controllers, and below which it takes them again.
pub const CROWDED_SHARE: f64 = 0.65;
pub const UNCROWDED_SHARE: f64 = 0.5;
/// Count. Other controllers that must be there to take a crowded leader's users.
pub const CROWDED_PEERS: usize = 2;
/// How long each of those must have been there: the load balancer does not send users to one that has just
/// started.
pub const CROWDED_PEER_UP: Duration = Duration::from_secs(15);
/// Share of public sockets in use from which on users' connections are closed after each answer.
pub const TIGHT_SHARE: f64 = 0.9;
/// Share of public sockets in use from which on every connection is closed after an answer, workers' too: a worker
/// needs one for some milliseconds in each of its intervals, and one that finds none for a lease loses its tasks.
pub const FULL_SHARE: f64 = 0.98;
/// Share of the platform's memory limit that what is known of machines may take up.
pub const MACHINE_MEMORY_SHARE: f64 = 0.5;
/// Bytes. What a leader holds for a machine with its tasks, connection and part of the jobs: 6,000 were measured
/// at 4,100 machines.
pub const MACHINE_BYTES: f64 = 12_000.0;
/// Pause between two decisions about how many machines a leader can hold: longer than a take-over keeps it busy.
pub const CEILING_EVERY: Duration = Duration::from_secs(15);
/// Share of the machines that sockets allow below which lateness is no reason to rent fewer.
pub const CEILING_LEAST: f64 = 0.5;
/// Count. Steps in which such a ceiling rises again from nothing.
pub const CEILING_STEPS: u32 = 40;
/// Count. Requests waiting for each second over which those who are refused are spread.
pub const COME_BACK_EACH: u64 = 100;
/// Seconds. The longest such time; PROTOCOL's users wait no longer than 30 s.
pub const COME_BACK_MOST_S: u64 = 15;
/// Share of the platform's socket limit that idle connections of ours to workers may hold: opening one costs two more
/// wake-ups and ten more system calls than using it again.
pub const IDLE_SOCKET_SHARE: f64 = 0.25;

/// How long a user's request may take inside; users give a poll 2 s and a submission 5 s.
pub const USER_DEADLINE: Duration = Duration::from_millis(1600);
/// How long a submission or an abort may take inside.
pub const CHANGE_DEADLINE: Duration = Duration::from_millis(4000);
/// Count. User requests waiting in one process; beyond it they are refused at once.
pub const USER_QUEUE_MAX: usize = 2000;

/// Timeout of a commit or read at the state service, which normally answers within 10 ms and
/// now and then within a few hundred.
pub const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a follow waits at the state service.
pub const FOLLOW_WAIT: Duration = Duration::from_secs(8);
/// Pause of a leader after a follow answer: a burst of changes costs at most 10 requests a second, and
/// a submission waits so long for its first look at the most.
pub const FOLLOW_PAUSE: Duration = Duration::from_millis(100);
/// The same for the other controllers, who need news to answer polls (a sync brings it sooner) and to
/// see that nobody leads: an answer of the store costs more than anything else that they do.
pub const FOLLOWER_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two read-index syncs of one process.
pub const SYNC_PAUSE: Duration = Duration::from_millis(120);
/// Added to it where only polls wait, so that more of them share the next: users give a poll 2 s and
/// expect news within 3 s. A submission that names jobs accepted a moment ago has 200 ms.
pub const SYNC_JOINED: Duration = Duration::from_millis(130);
/// How long marks of tasks of jobs that go on wait for others: one write carries all of a job's that
/// have come, and each write is read by every controller.
pub const MARKS_EVERY: Duration = Duration::from_millis(1000);
/// Pause after a failed call to the state service, grown by a random half.
pub const STATE_RETRY: Duration = Duration::from_millis(250);
/// A process that has had no answer from the state service for this long counts it as lost.
pub const STATE_LOST: Duration = Duration::from_millis(2500);
/// Share of the state service's budget that we plan to use; the rest is for its own counting.
pub const STATE_BUDGET: f64 = 0.92;
/// Share of that budget which the leader takes; followers divide the rest.
pub const LEADER_BUDGET: f64 = 0.5;
/// Share of the state service's limit of a value that we fill: the rest is for its own counting.
pub const VALUE_SHARE: f64 = 0.9;
/// Count. Writes of tidying up in one transaction: few, so that they hold up nothing.
pub const TIDY_WRITES: usize = 4;
/// Pause between two such transactions.
pub const TIDY_EVERY: Duration = Duration::from_millis(1000);
/// A submission of many parts that was not finished within this time is given up, and its parts are
/// removed: users repeat a submission for a minute.
pub const ORPHAN_AFTER: Duration = Duration::from_secs(180);
/// Rows asked for in one page.
pub const PAGE_ROWS: usize = 500;

/// Life of the leader's lease at the state service.
pub const LEADER_LEASE_TTL: Duration = Duration::from_millis(3000);
/// Pause between renewals of that lease.
pub const RENEW_EVERY: Duration = Duration::from_millis(700);
/// Subtracted from the lease's life besides drift: time between our check and the packet's
/// leaving.
pub const LEASE_MARGIN: Duration = Duration::from_millis(400);
/// Share by which two steady clocks may disagree: 0.05% each side.
pub const DRIFT: f64 = 0.001;
/// How long a pledge not to campaign lasts. A restarted process sits this out as well.
pub const LEASE_EXTENSION: Duration = Duration::from_millis(2000);
/// Pause before more of a message is written to a peer whose connection is full.
pub const FULL_PAUSE: Duration = Duration::from_millis(5);
/// Bytes. Acknowledgements read at once, one byte each: more than a peer can owe before its connection is given up.
pub const ACKNOWLEDGEMENTS_AT_ONCE: usize = 64;
/// Pause between the leader's messages to each peer.
pub const MESH_EVERY: Duration = Duration::from_millis(500);
/// Upper bound of the random pause before a campaign.
pub const CAMPAIGN_JITTER: Duration = Duration::from_millis(120);
/// How long a worker that another controller sends to the leader takes to report there: PROTOCOL's
/// half second and its connection, with a resend.
pub const REDIRECT_MOST: Duration = Duration::from_millis(1200);
/// PROTOCOL's pause before a worker whose controller doesn't answer tries the next, and its timeout.
pub const WORKER_GIVES_UP: Duration = Duration::from_millis(5000);
/// A leader that has had no report for this long, or half a report interval, gives up if workers
/// report elsewhere; a new one waits as well until those who asked its predecessor give that up.
pub const RESIGN_AFTER: Duration = Duration::from_millis(2000);
/// A drained controller does not campaign for this long after it last saw another that serves.
pub const STAND_ASIDE: Duration = Duration::from_secs(2);
/// A leader that gave up for want of workers does not campaign for this long.
pub const RESIGN_REST: Duration = Duration::from_secs(15);

/// Count. PROTOCOL starts a worker's sessions at this.
pub const FIRST_AGENT_EPOCH: u64 = 1;
/// Timeout of a direct command to a worker.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(3000);
/// A report is late after so many of its intervals: PROTOCOL varies each by a quarter.
pub const REPORT_LATE: f64 = 1.25;
/// Added to the above: a lost packet and its resend.
pub const REPORT_LATE_MORE: Duration = Duration::from_millis(1000);
/// Timeout of the question whether a worker lives.
pub const STATUS_TIMEOUT: Duration = Duration::from_millis(1500);
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
/// Count. Orders in one answer to a worker, which keeps it far below 64 KiB.
pub const ORDERS_MAX: usize = 300;

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
/// Bytes. Texts in an operator's order.
pub const NOTE_MAX: usize = 200;
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

/// Timeout of a call to the cloud.
pub const CLOUD_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two listings of the cloud's machines.
pub const LIST_EVERY: Duration = Duration::from_secs(4);
/// Pause between two readings of the machine types and prices.
pub const FLAVORS_EVERY: Duration = Duration::from_secs(60);
/// Count. PROTOCOL's cap on machines in one rental.
pub const HIRE_MAX: u32 = 50;
/// Count. PROTOCOL's cap on names in one deletion.
pub const DELETE_MAX: usize = 100;
/// What the cloud's 503 says when a type, zone and kind is used up; any other is an outage.
pub const NO_CAPACITY: &str = "no capacity";
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

/// Longest pause between two looks at everything that depends on time.
pub const TICK_MOST: Duration = Duration::from_millis(200);
/// Shortest such pause.
pub const TICK_LEAST: Duration = Duration::from_millis(10);
/// A process that handled nothing for this long, five of the pauses above, stood still; for as long
/// again what it handles may have waited for it.
pub const STOOD_STILL: Duration = Duration::from_millis(1000);
/// An event whose handling takes this long is named in the log: the right to act lasts seconds.
pub const SLOW_EVENT: Duration = Duration::from_millis(250);
/// Pause between two looks at what silence and age do to machines.
pub const WATCH_EVERY: Duration = Duration::from_millis(200);
/// Longest pause between two planning rounds when nothing asks for one.
pub const PLAN_IDLE: Duration = Duration::from_millis(1000);
/// Shortest pause between two planning rounds.
pub const PLAN_EVERY: Duration = Duration::from_millis(120);
/// Longest pause between two passes that are asked for while no task waits: they keep room warm, book what is drained
/// and look whether room is scarce.
pub const PLAN_WHOLE: Duration = Duration::from_millis(480);
/// Where fewer machines can still be held than one for so many that there are, larger ones go first.
pub const RENTS_FEW: usize = 8;
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
/// How often the time of day is read again: the steady clock drifts by 0.05% at most.
pub const WALL_EVERY: Duration = Duration::from_secs(10);
/// Pause between two lines of counts in the log.
pub const COUNTS_EVERY: Duration = Duration::from_secs(5);
/// First pause before a failed task is tried again; doubles with each failure.
pub const RETRY_FIRST: Duration = Duration::from_secs(1);
/// Longest such pause.
pub const RETRY_MOST: Duration = Duration::from_secs(30);
/// Count. Different jobs that do well elsewhere and must fail on one machine before it is given
/// back; a job also avoids so many machines on which it failed.
pub const FAULTY_JOBS: usize = 2;
/// Count. Machines on which a job fails, without having done well anywhere, before the failures
/// are taken for its own: two faulty machines at a time are rare enough.
pub const MISTAKEN_MACHINES: usize = 3;
/// A task that ran this long shows that its job does well: mistakes show at once.
pub const PROVEN_AFTER: Duration = Duration::from_secs(10);
/// Count. PROTOCOL's cap on the tasks of a job.
pub const LEGS_MAX: u64 = 100_000;

/// Bytes. An operators' key that is shorter can be guessed, one that is longer is a mistake.
pub const KEY_LEAST: f64 = 16.0;
pub const KEY_MOST: f64 = 200.0;

/// Default share of machines that the heavy basket may hold; the paper's section 8.2.1.
pub const HEAVY_CAP: f64 = 0.3;
/// Default share of a machine above which a task is heavy.
pub const HEAVY_THRESHOLD: f64 = 0.5;
/// Default seconds that an empty machine stays in its basket before the pool takes it back.
pub const HOLD_S: f64 = 0.0;
/// Default seconds that an empty ordinary machine is kept before it is returned to the cloud.
pub const IDLE_RETURN_S: f64 = 10.0;
/// Default machines' worth of free room kept ready in each zone for critical work.
pub const WARM_PER_ZONE: f64 = 0.5;
/// Default share of a zone's machines that is kept free in it, if that is more.
pub const WARM_SHARE: f64 = 0.015;

/// How long another controller may answer reports on a leader's behalf after it last heard from
/// it: longer than the cuts between zones that operators see.
pub const DELEGATION_TERM: Duration = Duration::from_secs(45);
/// A controller answers on the leader's behalf after this long without a grant, three beats.
pub const PEER_UNREACHABLE_AFTER: Duration = Duration::from_millis(1600);
/// Kept between the last answer on a leader's behalf without news of the store and the time by
/// which a cancelled task must be gone.
pub const CANCELLATION_MARGIN: Duration = Duration::from_millis(1500);

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
/// Pause between messages that go by way of the store to a controller out of reach.
pub const RELAY_EVERY: Duration = Duration::from_secs(3);
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

/// Life of a controller's heartbeat at the state service.
pub const CONTROLLER_LEASE_TTL: Duration = Duration::from_millis(6000);
/// Pause between two renewals of it: two may fail.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(1800);
/// From this format on controllers show heartbeats and promise to stop what is to be cancelled.
pub const FORMAT_HEARTBEAT: u32 = 2;
/// How long a cancellation waits for the promises of controllers that are in reach, some milliseconds
/// as a rule; beyond it the user is told to come back.
pub const ACK_WAIT: Duration = Duration::from_millis(800);
/// Pause before a controller that has not answered is asked again.
pub const ACK_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// An answer to such a question that comes later than this counts for nothing.
pub const PROMISE_LATE: Duration = Duration::from_secs(10);

/// Times as likely as another a controller takes the reports of a worker in its own zone: behind a cut most workers are
/// then with a controller that can answer them, and zones of unlike size still load their controllers much alike.
pub const SAME_ZONE_WEIGHT: f64 = 4.0;
/// A controller passes reports on for so long after the leader last permitted it, three of its messages.
pub const RELAY_TERM: Duration = Duration::from_millis(1600);
/// Where reports were passed on within this time, a new leader is waited for: it tells within a second, and thousands
/// of workers sent straight to it would use up its sockets.
pub const RELAY_RESUMES_WITHIN: Duration = Duration::from_secs(12);
/// A leader that was not heard for this long and whose key still stands is out of reach of this controller alone: the key
/// outlives its leader by less ([`LEADER_LEASE_TTL`], and its end is told within a follow).
pub const LEADER_APART_AFTER: Duration = Duration::from_millis(4500);
/// For so long after its last message by way of the store a leader counts as alive though it is not heard otherwise.
pub const LEADER_BY_STORE_FOR: Duration = Duration::from_millis(5000);
/// How much longer a leader waits for workers before it gives up for want of them, if others passed their reports on:
/// those notice that they can't reach it and send workers to it, by way of the store in some seconds.
pub const SHARED_PATIENCE: Duration = Duration::from_millis(4000);
/// A report without an answer of the leader is dealt with otherwise after this long: by then a leader that is out of
/// reach counts as such ([`PEER_UNREACHABLE_AFTER`]), and the worker, which waits for 4 s, still does.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1700);
/// Reports that say nothing new wait so long for others to go with them, and those that do.
pub const RELAY_PAUSE: Duration = Duration::from_millis(60);
pub const RELAY_PAUSE_NEWS: Duration = Duration::from_millis(12);
/// Count. Batches under way to the leader at the most: one that falls behind gets fewer and larger ones.
pub const RELAY_BATCHES: usize = 8;
/// Bytes. A batch, as reckoned before it is encoded: within the limit of a frame.
pub const RELAY_FRAME: usize = 48 * 1024;
/// Share of what a controller can hold alone, in sockets or processor time for reports, from which on others take
/// reports as well, and below which the leader takes them all again.
pub const SHARE_ABOVE: f64 = 0.6;
pub const SHARE_BELOW: f64 = 0.4;
/// Count. Workers from which on that is so whatever one controller could hold: else the leader of many large controllers
/// would fill to six times what the others have before they take anything.
pub const SHARE_WORKERS: f64 = 1500.0;
/// Thousandths. Weight of a controller that takes reports, and of the leader where the others have little room.
pub const MEMBER_WEIGHT: u32 = 1000;
pub const LEADER_WEIGHT: u32 = 400;
/// Share of the others' sockets that workers take up from which on the leader takes some, too.
pub const LEADER_HELPS_ABOVE: f64 = 0.4;
/// And below which it takes none again.
pub const LEADER_HELPS_BELOW: f64 = 0.32;
/// Shares of public sockets still free below which a controller's weight falls to a quarter, and to none.
pub const ROOM_SHORT: f64 = 0.12;
pub const ROOM_NONE: f64 = 0.05;
/// A worker that was sent elsewhere and comes back within this time is taken: two controllers may know different members.
pub const REDIRECT_ONCE_IN: Duration = Duration::from_secs(10);
/// A controller counts as one that can take reports for this long after it was last heard.
pub const MEMBER_KNOWN_FOR: Duration = Duration::from_secs(120);
/// A member that was not heard for this long takes no reports.
pub const MEMBER_FRESH: Duration = Duration::from_millis(1600);
/// Count. Which of the messages between controllers a process understands, told at the end of its frames: 1 brought
/// reports that are passed on.
pub const MESH_PROTOCOL: u8 = 1;
/// Count. Calls to workers that a leader may have under way beyond its own sockets where others make them.
pub const DELIVERIES_MORE: usize = 1000;
/// Results of commands that were passed on wait so long for others to go with them.
pub const DELIVERY_PAUSE: Duration = Duration::from_millis(8);
/// Added to a command's timeout where another controller carries it out: the way there and back.
pub const DELIVERY_MARGIN: Duration = Duration::from_millis(1500);
/// Count. Commands under way by other controllers at the most.
pub const DELIVERIES_MOST: usize = 4000;
