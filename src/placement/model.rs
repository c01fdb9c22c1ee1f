//! The planner's input and output types.

use super::basket::Basket;
use crate::ids::{Amount, MachineTypeId, TeamId, ZoneId};
use crate::wire::Priority;
use std::sync::Arc;

/// The container images on a machine, as numbers that the caller assigns.
pub type Images = Arc<[u32]>;

/// Position of a request in [`PlacementInput::requests`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestIndex(pub usize);

/// Position of a bin in [`PlacementInput::bins`], or beyond them for a machine to be rented.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BinIndex(pub usize);

/// A machine, as placement sees it.
#[derive(Debug, Clone)]
pub struct Bin {
    /// The machine's fixed index, by which machines are filled; [`Bin::NEW`] for one to be rented.
    pub index: u64,
    /// Where the machine is.
    pub zone: ZoneId,
    /// What kind of machine it is.
    pub machine_type: MachineTypeId,
    /// Whether it is preemptible.
    pub spot: bool,
    /// Resources that no task uses.
    pub free: Amount,
    /// The basket that it belongs to; none while it is in the pool.
    pub basket: Option<Basket>,
    /// False for a machine that is still booting: tasks are booked on it, but not started.
    pub ready: bool,
    /// Images that it is believed to have.
    pub images: Images,
    /// Tasks of higher priority left it a moment ago and may return, so that best-effort tasks
    /// keep off.
    pub recently_vacated: bool,
}

impl Bin {
    /// The index of machines that are not up yet: beyond those of all others.
    pub const NEW: u64 = u64::MAX;

    /// A machine that is rented and has nothing on it yet.
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
        }
    }
}

/// How many more tasks of a job each zone may hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneLimits(Vec<u32>);

impl ZoneLimits {
    const UNLIMITED: u32 = u32::MAX;

    /// No limit in any of `zones` zones.
    pub fn unlimited(zones: usize) -> ZoneLimits {
        ZoneLimits::uniform(zones, ZoneLimits::UNLIMITED)
    }

    /// The same limit in each of `zones` zones.
    pub fn uniform(zones: usize, limit: u32) -> ZoneLimits {
        ZoneLimits(vec![limit; zones])
    }

    /// How many more tasks the zone may hold.
    pub fn remaining(&self, zone: ZoneId) -> u32 {
        self.0[zone.index()]
    }

    /// Whether the zone may hold another task.
    pub fn is_open(&self, zone: ZoneId) -> bool {
        self.remaining(zone) > 0
    }

    /// Counts tasks that were placed in the zone.
    pub fn consume(&mut self, zone: ZoneId, tasks: u32) {
        let limit = &mut self.0[zone.index()];
        if *limit != ZoneLimits::UNLIMITED {
            *limit = limit.saturating_sub(tasks);
        }
    }

    /// All zones, in order.
    pub fn zones(&self) -> impl DoubleEndedIterator<Item = ZoneId> + use<> {
        (0..self.0.len()).map(ZoneId::new)
    }

    /// Whether every zone that is open here is open there.
    pub fn open_within(&self, other: &ZoneLimits) -> bool {
        self.0.iter().zip(&other.0).all(|(here, there)| *here == 0 || *there > 0)
    }

    /// Whether the same zones are open.
    pub fn same_open_zones(&self, other: &ZoneLimits) -> bool {
        let is_open = |limit: &u32| *limit > 0;
        self.0.iter().map(is_open).eq(other.0.iter().map(is_open))
    }
}

/// Waiting tasks of one job that are interchangeable.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// The team whose limit they count towards.
    pub team: TeamId,
    /// Their priority.
    pub priority: Priority,
    /// What each of them needs.
    pub resources: Amount,
    /// The basket that they belong to.
    pub basket: Basket,
    /// How many there are.
    pub count: u32,
    /// The zone that they must run in, if it matters.
    pub zone: Option<ZoneId>,
    /// The machine types that they may run on; none: any.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// Whether they may run on spot machines.
    pub allows_spot: bool,
    /// How many more of them each zone may hold.
    pub zone_limits: ZoneLimits,
    /// They must all run in one zone, whichever that is.
    pub single_zone: bool,
    /// Their container image.
    pub image: u32,
    /// Indices of machines on which tasks of this job failed.
    pub excluded_machines: Vec<u64>,
    /// Gang scheduling: all of them start at once, or none does.
    pub gang: bool,
    /// Seconds: the tightest objective for the start of a job of this class.
    pub start_slo_s: Option<f64>,
    /// Seconds until the job misses its next objective; none if it has missed them all.
    pub slo_slack_s: Option<f64>,
    /// Which machines may be rented for them.
    pub scale_out: ScaleOutPolicy,
}

impl PlacementRequest {
    /// Whether the tasks may use machines of this zone, type and kind.
    pub fn allows(&self, zone: ZoneId, machine_type: MachineTypeId, spot: bool) -> bool {
        (self.allows_spot || !spot)
            && self.zone.is_none_or(|required| required == zone)
            && self.machine_types.as_ref().is_none_or(|types| types.contains(&machine_type))
    }
}

/// Which machines may be rented for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScaleOutPolicy {
    /// Machines of any kind.
    Any,
    /// Spot machines only: best-effort work takes what room there is, and cheap machines.
    Spot,
    /// None.
    Nothing,
}

/// A kind of machine that can be rented.
#[derive(Debug, Clone)]
pub struct MachineTypeOffer {
    /// The machine type.
    pub machine_type: MachineTypeId,
    /// The zone that it is rented in.
    pub zone: ZoneId,
    /// Whether it is preemptible.
    pub spot: bool,
    /// What it costs in an hour.
    pub price: f64,
    /// The resources of one machine.
    pub capacity: Amount,
    /// How many may still be requested.
    pub available: u32,
    /// How many of our machines are in this zone already: zones are kept balanced.
    pub held: u32,
}

/// All that a planning pass decides by.
#[derive(Debug, Clone, Default)]
pub struct PlacementInput {
    /// Machines that are up or booting.
    pub bins: Vec<Bin>,
    /// What waits, in order of service.
    pub requests: Vec<PlacementRequest>,
    /// What each team may use beyond what its tasks use now.
    pub team_headroom: Vec<Amount>,
    /// What can be rented.
    pub offers: Vec<MachineTypeOffer>,
    /// How many machines the heavy basket may hold.
    pub heavy_limit: usize,
    /// How many more machines may be rented, of whatever kind.
    pub rental_limit: u32,
}

/// A task of a request that starts on a machine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStart {
    /// The request that the task belongs to.
    pub request: RequestIndex,
    /// The machine that it starts on.
    pub bin: BinIndex,
}

/// A number of a request's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTasks {
    /// The request.
    pub request: RequestIndex,
    /// How many of its tasks.
    pub tasks: u32,
}

/// What a planning pass decides.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Tasks to be started now, one entry a task.
    pub starts: Vec<PlannedStart>,
    /// Tasks that wait for machines that are booting or to be rented.
    pub booked: Vec<RequestTasks>,
    /// Tasks for which there is neither room nor an offer.
    pub unplaceable: Vec<RequestTasks>,
    /// How many machines to rent of each offer.
    pub scale_out: Vec<u32>,
}

/// How many tasks that need `resources` each fit into `room`.
pub fn max_copies(room: &Amount, resources: &Amount) -> u64 {
    let copies = |room: u64, each: u64| room.checked_div(each).unwrap_or(u64::MAX);
    copies(room.cpu, resources.cpu)
        .min(copies(room.gpu, resources.gpu))
        .min(copies(room.ram, resources.ram))
}
