//! What operators ask a controller, beside the users' protocol: JSON, so that people can read it.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// POST, with [`Question`]. Answered 404, as any path that there is not, without the right key.
pub const AT_RISK_PATH: &str = "/ops/jobs/at-risk";

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Question {
    pub key: String,
}

/// A job that may miss an aim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RiskyJob {
    pub job: JobId,
    pub class: String,
    pub team: String,
    /// Probability that it is late, from 0 to 1.
    pub late: f64,
    /// Seconds until it is due, and until it will be done: the middle of what is expected.
    pub due_in_s: f64,
    pub done_in_s: f64,
    pub done_tasks: u64,
    pub tasks: u64,
    /// How sure the estimate is that this rests on.
    pub grade: String,
}

/// Jobs at risk, the likeliest to be late first, and how warnings turned out under this leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AtRisk {
    pub leader: String,
    pub jobs: Vec<RiskyJob>,
    pub warned: u64,
    pub warned_late: u64,
    pub warned_in_time: u64,
    pub late_unwarned: u64,
}

/// POST, with [`DrainOrder`], [`DrainName`] and [`Question`]. Any controller takes them.
pub const DRAIN_PATH: &str = "/ops/drain";
pub const UNDRAIN_PATH: &str = "/ops/undrain";
pub const DRAINS_PATH: &str = "/ops/drains";

/// What can be drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainKind {
    Zone,
    Machine,
    /// It hands leadership and its users over to others, as long as there are any.
    Controller,
}

/// Nothing new is to start there, and what runs is to leave.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DrainOrder {
    pub key: String,
    pub kind: DrainKind,
    pub name: String,
    /// Seconds from now after which no array's task may run there any more; none: each runs to its end.
    #[serde(default)]
    pub by_s: Option<f64>,
    #[serde(default)]
    pub author: String,
    #[serde(default)]
    pub reason: String,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DrainName {
    pub key: String,
    pub kind: DrainKind,
    pub name: String,
}

/// A drain that is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    pub kind: DrainKind,
    pub name: String,
    /// Seconds until it is to be done; below 0 if that is past.
    pub by_in_s: Option<f64>,
    /// Seconds since it was ordered.
    pub since_s: f64,
    pub author: String,
    pub reason: String,
    /// Tasks that are still there, and how many of them can neither leave nor end in time; only the leader
    /// knows.
    pub left: Option<u64>,
    pub stuck: Option<u64>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Drains {
    pub drains: Vec<Drain>,
}

/// POST, with [`Question`]: which classes of which teams are below their floors.
pub const STARVING_PATH: &str = "/ops/jobs/starving";

/// A class of a team that is below its floor; room is counted in machines of the largest type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StarvingGroup {
    pub class: String,
    pub team: String,
    /// What its tasks take up, what it is to have at the least, and what it needs to be served as fast as
    /// its work arrives.
    pub held: f64,
    pub floor: f64,
    pub needed: f64,
    /// Tasks that wait, by what for.
    pub waits_for: BTreeMap<String, u64>,
}

/// Whether room is scarce, and who has least of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Starving {
    pub leader: String,
    /// Seconds since room became scarce; none: it is not.
    pub scarce_for_s: Option<f64>,
    /// Machines that are up or booting, and whether none can be rented beside them.
    pub machines: f64,
    pub nothing_to_rent: bool,
    pub groups: Vec<StarvingGroup>,
}

/// What one class of a team asks for, in machines of the largest type, as the leader's log tells every few seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupDemand {
    pub class: String,
    pub team: String,
    /// Its tasks run until they are cancelled.
    pub service: bool,
    /// It may not use spot machines.
    pub ordinary: bool,
    pub held: f64,
    pub waiting: f64,
    /// Machine-seconds of arrays that came since this leadership began, as their run times are expected.
    pub came: f64,
    pub floor: f64,
}

/// The line `demand` of the log, whose field of that name is this as JSON.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandLine {
    /// The leadership that tells; one that has ended may go on telling for a moment.
    pub token: u64,
    /// Seconds since this leadership began.
    pub at_s: f64,
    /// Machines that are up or booting.
    pub ordinary: f64,
    pub spot: f64,
    pub exhausted: bool,
    pub scarce: bool,
    pub groups: Vec<GroupDemand>,
}

/// What stands before that JSON in a line of the log.
pub const DEMAND_FIELD: &str = "demand=";
