//! Input and output types of the planner.

use super::basket::Basket;
use crate::ids::{Amount, MachineTypeId, TeamId, ZoneId};
use crate::wire::Priority;
use std::sync::Arc;

/// Container images on a machine, as numbers that the caller assigns.
pub type Images = Arc<[u32]>;

/// Position of a request in [`PlacementInput::requests`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestIndex(pub usize);

/// Position of a bin in [`PlacementInput::bins`]; machines to be rented follow after the last bin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BinIndex(pub usize);

/// Machine that tasks can be placed on.
#[derive(Debug, Clone)]
pub struct Bin {
    /// Fixed index, by which machines are filled in order; [`Bin::NEW`] before the machine is rented.
    pub index: u64,
    /// Zone that the machine runs in.
    pub zone: ZoneId,
    /// Type of the machine, which requests may restrict.
    pub machine_type: MachineTypeId,
    /// True for a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Resources that no task uses.
    pub free: Amount,
    /// Basket that the machine belongs to; `None` while it is in the pool.
    pub basket: Option<Basket>,
    /// False for a machine that is still booting or unconfirmed: tasks are booked on it, not started.
    pub ready: bool,
    /// Images expected to be in the machine's cache.
    pub images: Images,
    /// True if tasks of higher priority left the machine recently and may return, so that no
    /// best-effort task is placed on it.
    pub recently_vacated: bool,
    /// True if the machine may be faulty. Only if no other machine that is up has room, one task is
    /// placed on it, or any number of one gang's tasks.
    pub last_resort: bool,
}

impl Bin {
    /// Index of machines whose rental is pending or planned, which orders them after all others.
    pub const NEW: u64 = u64::MAX;

    /// Returns a newly rented machine that runs no tasks and has no images.
    pub fn booting(zone: ZoneId, machine_type: MachineTypeId, spot: bool, free: Amount) -> Bin {
        Bin {
            index: Bin::NEW,
            zone,
            machine_type,
            spot,
            free,
            basket: None,
            ready: false,
            images: Images::default(),
            recently_vacated: false,
            last_resort: false,
        }
    }
}

/// Number of additional tasks of a job that each zone may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneLimits(Vec<u32>);

impl ZoneLimits {
    const UNLIMITED: u32 = u32::MAX;

    /// Creates limits that allow any number of tasks in each of `zones` zones.
    pub fn unlimited(zones: usize) -> ZoneLimits {
        ZoneLimits::uniform(zones, ZoneLimits::UNLIMITED)
    }

    /// Creates the same limit for each of `zones` zones.
    pub fn uniform(zones: usize, limit: u32) -> ZoneLimits {
        ZoneLimits(vec![limit; zones])
    }

    /// Returns the number of additional tasks that the zone may run.
    pub fn remaining(&self, zone: ZoneId) -> u32 {
        self.0[zone.index()]
    }

    /// Returns whether the zone may run another task.
    pub fn is_open(&self, zone: ZoneId) -> bool {
        self.remaining(zone) > 0
    }

    /// Deducts tasks that were placed in the zone from its limit, unless it is unlimited.
    pub fn consume(&mut self, zone: ZoneId, tasks: u32) {
        let limit = &mut self.0[zone.index()];
        if *limit != ZoneLimits::UNLIMITED {
            *limit = limit.saturating_sub(tasks);
        }
    }

    /// Returns all zones, in order.
    pub fn zones(&self) -> impl DoubleEndedIterator<Item = ZoneId> + use<> {
        (0..self.0.len()).map(ZoneId::new)
    }

    /// Returns whether every zone that is open in `self` is also open in `other`.
    pub fn open_zones_are_within(&self, other: &ZoneLimits) -> bool {
        self.0.iter().zip(&other.0).all(|(own, other)| *own == 0 || *other > 0)
    }

    /// Returns whether the same zones are open in `self` and `other`.
    pub fn has_same_open_zones(&self, other: &ZoneLimits) -> bool {
        let is_open = |limit: &u32| *limit > 0;
        self.0.iter().map(is_open).eq(other.0.iter().map(is_open))
    }
}

/// Interchangeable waiting tasks of one job.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Team whose limit the tasks count towards.
    pub team: TeamId,
    /// Priority of the job; for `Production`, a machine with the image precedes one of the own basket.
    pub priority: Priority,
    /// Resources that each task needs.
    pub resources: Amount,
    /// Basket that the tasks belong to.
    pub basket: Basket,
    /// Number of tasks to place.
    pub count: u32,
    /// Zone that the tasks must run in, if the job is bound to one.
    pub zone: Option<ZoneId>,
    /// Machine types that the tasks may run on; `None` allows any.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// True if the tasks may run on spot machines.
    pub allows_spot: bool,
    /// Number of additional tasks that each zone may run.
    pub zone_limits: ZoneLimits,
    /// True if all tasks must run in the same zone; if `zone` is `None`, the planner selects it.
    pub single_zone: bool,
    /// Container image of the tasks.
    pub image: u32,
    /// Indices of machines on which no task may be placed, because tasks of this job failed there.
    pub excluded_machines: Vec<u64>,
    /// Indices of machines on which tasks of this job failed longer ago. Only if no other machine
    /// that is up has room, one task is placed on each of them, or any number of a gang's tasks.
    pub last_resort_machines: Vec<u64>,
    /// True for a gang: either all tasks start together or none starts.
    pub gang: bool,
    /// Tightest objective for the start of a job of this class, in seconds.
    pub start_slo_s: Option<f64>,
    /// Time until the job misses its next start objective or its latest start for a deadline, in
    /// seconds; `None` if it has missed them all.
    pub slo_slack_s: Option<f64>,
    /// Restriction on the machines that may be rented for the tasks.
    pub scale_out: ScaleOutPolicy,
    /// Restriction on the preemption of others for the tasks.
    pub preemption: PreemptionPolicy,
}

impl PlacementRequest {
    /// Returns whether the tasks may run on machines of this zone and type, spot if `spot` is true.
    pub fn allows(&self, zone: ZoneId, machine_type: MachineTypeId, spot: bool) -> bool {
        (self.allows_spot || !spot)
            && self.zone.is_none_or(|required| required == zone)
            && self.machine_types.as_ref().is_none_or(|types| types.contains(&machine_type))
    }

    /// Returns whether the tasks may be placed on machines of this basket; `None` stands for the pool.
    pub fn allows_basket(&self, basket: Option<Basket>) -> bool {
        basket.is_none_or(|basket| basket == self.basket)
    }

    /// Returns whether a machine is a last resort, for this request or for all.
    pub fn is_last_resort(&self, bin: &Bin) -> bool {
        bin.last_resort || self.last_resort_machines.contains(&bin.index)
    }
}

/// Restriction on the machines that may be rented for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScaleOutPolicy {
    /// Both spot and on-demand machines.
    Any,
    /// Spot machines only: best-effort tasks use existing free capacity and cheap machines.
    Spot,
    /// No machines: the tasks use existing capacity only.
    Nothing,
}

/// Restriction on the preemption of others for a request, beyond that of its priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreemptionPolicy {
    /// On all machines.
    Anywhere,
    /// On all but those that are the request's last resort.
    NotOnLastResort,
    /// On no machine.
    Nowhere,
}

/// Offer of machines of one type in one zone, either spot or on-demand.
#[derive(Debug, Clone)]
pub struct MachineTypeOffer {
    /// Type of the offered machines.
    pub machine_type: MachineTypeId,
    /// Zone that the machines are rented in.
    pub zone: ZoneId,
    /// True for spot machines, which the cloud may reclaim.
    pub spot: bool,
    /// Price of one machine per hour.
    pub price: f64,
    /// Resources of one machine.
    pub capacity: Amount,
    /// Number of machines that may still be requested.
    pub available: u32,
    /// Number of machines of any type that are already in this zone and, like the offer, either spot
    /// or on-demand. Among equal offers, the one with the fewest is chosen, to balance the zones.
    pub machines_in_zone: u32,
}

/// Input of one planning pass.
#[derive(Debug, Clone, Default)]
pub struct PlacementInput {
    /// Machines that are up, booting or to be provided by a pending rental.
    pub bins: Vec<Bin>,
    /// Waiting tasks, in order of service.
    pub requests: Vec<PlacementRequest>,
    /// Resources that each team may use in addition to those of its running tasks.
    pub team_headroom: Vec<Amount>,
    /// Machines that can be rented.
    pub offers: Vec<MachineTypeOffer>,
    /// Maximum number of machines in the heavy basket, unless every light task is placed.
    pub heavy_limit: usize,
    /// Number of machines that may still be rented, over all offers.
    pub rental_limit: u32,
}

/// Start of one of a request's tasks on a machine that is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStart {
    /// Request that the task belongs to.
    pub request: RequestIndex,
    /// Machine that the task starts on.
    pub bin: BinIndex,
}

/// Some of the tasks of one request, as a number because they are interchangeable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTasks {
    /// Request that the tasks belong to.
    pub request: RequestIndex,
    /// Number of these tasks.
    pub tasks: u32,
}

/// Reason for which a task is not started on a machine that is up and has room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// Tasks of the job failed on the machine.
    JobFailedThere,
    /// The machine may be faulty, and another task was placed on it or is still to be tried there.
    FaultyMachine,
    /// Tasks of higher priority left the machine recently and may return.
    RecentlyVacated,
    /// The machine belongs to the other basket.
    OtherBasket,
    /// The heavy basket has reached its limit.
    HeavyLimit,
    /// The gang fits only in part.
    IncompleteGang,
    /// None of the others, such as room that this pass left to the start of another task.
    Unknown,
}

/// Tasks of one request that wait although a machine that is up has room for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldBack {
    /// Request that the tasks belong to.
    pub request: RequestIndex,
    /// Number of these tasks.
    pub tasks: u32,
    /// First machine that has room.
    pub bin: BinIndex,
    /// Reason for which they don't start there.
    pub obstacle: Obstacle,
    /// True if they are booked on machines that are booting or to be rented.
    pub booked: bool,
}

/// Result of one planning pass.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Tasks to be started now, one entry per task.
    pub starts: Vec<PlannedStart>,
    /// Tasks booked on machines that are booting or to be rented.
    pub booked: Vec<RequestTasks>,
    /// Tasks for which there is neither free capacity nor a usable offer.
    pub unplaceable: Vec<RequestTasks>,
    /// Which of the booked and unplaceable tasks wait beside a machine that is up and has room.
    pub held_back: Vec<HeldBack>,
    /// Number of machines to rent of each offer, in the order of [`PlacementInput::offers`].
    pub scale_out: Vec<u32>,
}

/// Returns the number of tasks that fit into `free` if each needs `resources`.
pub fn max_copies(free: &Amount, resources: &Amount) -> u64 {
    let copies = |free: u64, each: u64| free.checked_div(each).unwrap_or(u64::MAX);
    copies(free.cpu, resources.cpu)
        .min(copies(free.gpu, resources.gpu))
        .min(copies(free.ram, resources.ram))
}
