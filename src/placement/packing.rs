//! The first-fit packer: requests in order of service, machines in order of preference.

use super::basket::Basket;
use super::capacity_index::{Candidate, CapacityIndex, GroupNumber};
use super::image_index::ImageIndex;
use super::model::{
    Bin, BinIndex, PlacementInput, PlacementPlan, PlacementRequest, PlannedStart, RequestIndex,
    RequestTasks, ScaleOutPolicy, max_copies,
};
use super::scale_out::ScaleOut;
use crate::ids::Amount;
use crate::wire::Priority;

/// Decides which tasks start where, and which machines are rented for the others.
pub fn plan(input: PlacementInput) -> PlacementPlan {
    let PlacementInput { bins, mut requests, team_headroom, offers, heavy_limit, rental_limit } =
        input;
    let mut packer = Packer {
        capacity_index: CapacityIndex::new(&bins),
        image_index: ImageIndex::new(&bins, &requests),
        heavy_machines: bins.iter().filter(|bin| bin.basket == Some(Basket::Heavy)).count(),
        bins,
        scale_out: ScaleOut::new(offers, rental_limit),
        team_headroom,
        heavy_limit,
        exhausted: Vec::new(),
        plan: PlacementPlan::default(),
    };
    packer.place_all(&mut requests);
    PlacementPlan { scale_out: packer.scale_out.into_counts(), ..packer.plan }
}

/// The state of one planning pass.
pub(super) struct Packer {
    pub(super) bins: Vec<Bin>,
    pub(super) capacity_index: CapacityIndex,
    image_index: ImageIndex,
    scale_out: ScaleOut,
    pub(super) team_headroom: Vec<Amount>,
    /// Machines in the heavy basket.
    pub(super) heavy_machines: usize,
    heavy_limit: usize,
    /// Requests of which tasks remained. Room only shrinks within a pass, so that an equivalent
    /// request needs no search: users submit hundreds of equal small jobs.
    exhausted: Vec<PlacementRequest>,
    pub(super) plan: PlacementPlan,
}

/// A group of machines that is filled before the next.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Tier {
    booting: bool,
    on_demand: bool,
}

/// Machines that are up come before those that boot, spot before on-demand machines.
const TIERS: [Tier; 4] = [
    Tier { booting: false, on_demand: false },
    Tier { booting: false, on_demand: true },
    Tier { booting: true, on_demand: false },
    Tier { booting: true, on_demand: true },
];

/// Machines of a tier that are filled together.
struct Stage {
    basket: Option<Basket>,
    with_image: bool,
}

/// The order within a tier: the request's own basket before the pool, machines that have the image
/// before those that don't. For the highest priority the image comes before the basket, because a
/// fetch takes longer than its users wait.
fn stages(request: &PlacementRequest) -> [Stage; 4] {
    let stage = |basket, with_image| Stage { basket, with_image };
    let own = Some(request.basket);
    if request.priority == Priority::Production {
        [stage(own, true), stage(None, true), stage(own, false), stage(None, false)]
    } else {
        [stage(own, true), stage(own, false), stage(None, true), stage(None, false)]
    }
}

/// A request while its tasks are placed. They are interchangeable, so a machine that is full for
/// one of them is full for all.
struct Allocation<'a> {
    index: RequestIndex,
    request: &'a mut PlacementRequest,
    remaining: u32,
    booked: u32,
    heavy_limit: usize,
}

/// Whether a search that was in vain for one request is in vain for the other, zone limits aside.
fn is_equivalent(a: &PlacementRequest, b: &PlacementRequest) -> bool {
    (a.team, a.resources, a.basket, a.zone, a.allows_spot, a.scale_out)
        == (b.team, b.resources, b.basket, b.zone, b.allows_spot, b.scale_out)
        && a.machine_types == b.machine_types
}

/// Whether nothing but what [`is_equivalent`] compares, and zone limits, decides where it may go.
fn is_unconstrained(request: &PlacementRequest) -> bool {
    !request.gang
        && !request.single_zone
        && request.excluded_machines.is_empty()
        && request.basket == Basket::Light
}

impl Packer {
    /// Places all requests. Heavy tasks that the basket's limit left over are placed beyond it
    /// while no light task waits.
    fn place_all(&mut self, requests: &mut [PlacementRequest]) {
        let mut light_waits = false;
        let mut heavy_left: Vec<RequestTasks> = Vec::new();
        for (i, request) in requests.iter_mut().enumerate() {
            let index = RequestIndex(i);
            let tasks = self.place(index, request, self.heavy_limit);
            if tasks > 0 && request.basket == Basket::Heavy {
                heavy_left.push(RequestTasks { request: index, tasks });
            } else if tasks > 0 {
                light_waits = true;
                self.plan.unplaceable.push(RequestTasks { request: index, tasks });
            }
        }
        for RequestTasks { request: index, mut tasks } in heavy_left {
            if !light_waits {
                let request = &mut requests[index.0];
                request.count = tasks;
                tasks = self.place(index, request, usize::MAX);
            }
            if tasks > 0 {
                self.plan.unplaceable.push(RequestTasks { request: index, tasks });
            }
        }
    }

    /// Places a request's tasks and returns how many remain.
    fn place(
        &mut self,
        index: RequestIndex,
        request: &mut PlacementRequest,
        heavy_limit: usize,
    ) -> u32 {
        if request.gang {
            return self.place_gang(index, request, heavy_limit);
        }
        if !is_unconstrained(request) {
            return self.place_tasks(index, request, heavy_limit);
        }
        let searched_in_vain = self.exhausted.iter().any(|other| {
            is_equivalent(request, other) && request.zone_limits.open_within(&other.zone_limits)
        });
        if searched_in_vain {
            return request.count;
        }
        let remaining = self.place_tasks(index, request, heavy_limit);
        if remaining > 0 {
            self.exhausted.push(request.clone());
        }
        remaining
    }

    /// Places a request's tasks one by one and returns how many remain.
    pub(super) fn place_tasks(
        &mut self,
        index: RequestIndex,
        request: &mut PlacementRequest,
        heavy_limit: usize,
    ) -> u32 {
        if request.single_zone && request.zone.is_none() {
            request.zone = self.best_single_zone(request);
        }
        let remaining = request.count;
        let mut allocation = Allocation { index, request, remaining, booked: 0, heavy_limit };
        for tier in TIERS {
            self.fill_tier(&mut allocation, tier);
        }
        self.rent_machines(&mut allocation);
        if allocation.booked > 0 {
            let booked = RequestTasks { request: index, tasks: allocation.booked };
            self.plan.booked.push(booked);
        }
        allocation.remaining
    }

    fn fill_tier(&mut self, allocation: &mut Allocation<'_>, tier: Tier) {
        let groups: Vec<GroupNumber> = self
            .capacity_index
            .groups()
            .filter(|(_, key)| key.booting == tier.booting && key.on_demand == tier.on_demand)
            .filter(|(_, key)| {
                allocation.request.allows(key.zone, key.machine_type, !key.on_demand)
            })
            .map(|(group, _)| group)
            .collect();
        if groups.is_empty() {
            return;
        }
        for stage in stages(allocation.request) {
            if !self.may_continue(allocation) {
                return;
            }
            if stage.with_image {
                self.fill_with_image(allocation, stage.basket, tier);
            } else {
                self.fill_in_order(allocation, stage.basket, &groups);
            }
        }
    }

    /// Whether tasks remain that their team's limit permits.
    fn may_continue(&self, allocation: &Allocation<'_>) -> bool {
        let request = &allocation.request;
        let headroom = &self.team_headroom[request.team.index()];
        allocation.remaining > 0 && request.resources.fits(headroom)
    }

    /// Whether no machine of this basket (none: the pool) may be taken, because the heavy basket
    /// is full.
    fn is_at_heavy_limit(&self, allocation: &Allocation<'_>, basket: Option<Basket>) -> bool {
        basket.is_none()
            && allocation.request.basket == Basket::Heavy
            && self.heavy_machines >= allocation.heavy_limit
    }

    /// Fills machines of the tier and basket that have the request's image.
    fn fill_with_image(
        &mut self,
        allocation: &mut Allocation<'_>,
        basket: Option<Basket>,
        tier: Tier,
    ) {
        for &index in self.image_index.bins_with(allocation.request.image).iter() {
            if !self.may_continue(allocation) {
                return;
            }
            let bin = &self.bins[index.0];
            if bin.basket == basket
                && tier == (Tier { booting: !bin.ready, on_demand: !bin.spot })
                && allocation.request.allows(bin.zone, bin.machine_type, bin.spot)
                && !self.is_at_heavy_limit(allocation, basket)
            {
                self.assign(allocation, index);
            }
        }
    }

    /// Fills machines of the basket in index order, whatever images they have: those that have the
    /// request's image are full already.
    fn fill_in_order(
        &mut self,
        allocation: &mut Allocation<'_>,
        basket: Option<Basket>,
        groups: &[GroupNumber],
    ) {
        let resources = allocation.request.resources;
        let mut candidates: Vec<Option<Candidate>> = groups
            .iter()
            .map(|group| self.capacity_index.first_fit(*group, basket, &resources, 0))
            .collect();
        while self.may_continue(allocation) && !self.is_at_heavy_limit(allocation, basket) {
            let first = candidates
                .iter()
                .enumerate()
                .filter_map(|(n, candidate)| Some((n, (*candidate)?)))
                .min_by_key(|(_, candidate)| (self.bins[candidate.bin.0].index, candidate.bin));
            let Some((n, Candidate { bin, slot })) = first else { return };
            // A task that needs nothing fits into any basket's tree.
            if self.bins[bin.0].basket == basket {
                self.assign(allocation, bin);
            }
            candidates[n] = if allocation.request.zone_limits.is_open(self.bins[bin.0].zone) {
                self.capacity_index.first_fit(groups[n], basket, &resources, slot + 1)
            } else {
                None
            };
        }
    }

    fn rent_machines(&mut self, allocation: &mut Allocation<'_>) {
        while self.may_continue(allocation) && !self.is_at_heavy_limit(allocation, None) {
            let Some(bin) = self.scale_out.rent(allocation.request, self.bins.len()) else {
                return;
            };
            self.bins.push(bin);
            self.capacity_index.push(&self.bins);
            self.assign(allocation, BinIndex(self.bins.len() - 1));
        }
    }

    /// Assigns as many tasks to a machine as fit and may run there.
    fn assign(&mut self, allocation: &mut Allocation<'_>, index: BinIndex) {
        let request = &mut *allocation.request;
        let bin = &mut self.bins[index.0];
        let is_best_effort = request.scale_out == ScaleOutPolicy::Spot;
        if request.excluded_machines.contains(&bin.index)
            || (bin.recently_vacated && is_best_effort)
        {
            return;
        }
        let headroom = &mut self.team_headroom[request.team.index()];
        let room =
            max_copies(&bin.free, &request.resources).min(max_copies(headroom, &request.resources));
        let room = u32::try_from(room).unwrap_or(u32::MAX);
        let count = allocation.remaining.min(request.zone_limits.remaining(bin.zone)).min(room);
        if count == 0 {
            return;
        }
        let resources = request.resources.times(u64::from(count));
        if bin.basket.is_none() && request.basket == Basket::Heavy {
            self.heavy_machines += 1;
        }
        bin.free = bin.free.minus(&resources);
        bin.basket = Some(request.basket);
        *headroom = headroom.minus(&resources);
        request.zone_limits.consume(bin.zone, count);
        allocation.remaining -= count;
        if bin.ready {
            let start = PlannedStart { request: allocation.index, bin: index };
            self.plan.starts.extend(std::iter::repeat_n(start, count as usize));
        } else {
            allocation.booked += count;
        }
        self.capacity_index.update(index.0, bin);
    }
}
