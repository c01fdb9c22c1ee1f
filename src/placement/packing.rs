//! First-fit packer: places requests in order of service on machines in order of preference.

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

/// Selects the tasks to start on existing machines and the machines to rent for the others.
pub fn plan(input: PlacementInput) -> PlacementPlan {
    let PlacementInput { bins, mut requests, team_headroom, offers, heavy_limit, rental_limit } =
        input;
    let mut packer = Packer {
        capacity_index: CapacityIndex::new(&bins),
        image_index: ImageIndex::new(&bins, &requests),
        last_resort_bins: (0..bins.len())
            .map(BinIndex)
            .filter(|index| bins[index.0].last_resort)
            .collect(),
        heavy_machines: bins.iter().filter(|bin| bin.basket == Some(Basket::Heavy)).count(),
        bins,
        scale_out: ScaleOut::new(offers, rental_limit),
        team_headroom,
        heavy_limit,
        unsatisfied: Vec::new(),
        plan: PlacementPlan::default(),
    };
    packer.place_all(&mut requests);
    packer.explain_waiting(&requests);
    PlacementPlan { scale_out: packer.scale_out.into_counts(), ..packer.plan }
}

/// State of one planning pass.
pub(super) struct Packer {
    pub(super) bins: Vec<Bin>,
    pub(super) capacity_index: CapacityIndex,
    image_index: ImageIndex,
    pub(super) scale_out: ScaleOut,
    pub(super) team_headroom: Vec<Amount>,
    pub(super) heavy_machines: usize,
    heavy_limit: usize,
    /// Machines that may be faulty and on which no task was placed in this pass.
    pub(super) last_resort_bins: Vec<BinIndex>,
    /// Requests that could not be placed completely. Free capacity only shrinks within a pass, so no
    /// search is made for equivalent requests; users submit hundreds of equal small jobs.
    unsatisfied: Vec<PlacementRequest>,
    pub(super) plan: PlacementPlan,
}

/// Group of machines that is filled before the next tier.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Tier {
    booting: bool,
    on_demand: bool,
}

/// Tiers of machines that are up, in order of filling: spot before on-demand ones.
const TIERS_UP: [Tier; 2] =
    [Tier { booting: false, on_demand: false }, Tier { booting: false, on_demand: true }];
/// The same tiers of booting machines, which are filled after all that are up.
const TIERS_BOOTING: [Tier; 2] =
    [Tier { booting: true, on_demand: false }, Tier { booting: true, on_demand: true }];

/// Machines of a tier that are filled together; a basket of `None` stands for the pool.
struct Stage {
    basket: Option<Basket>,
    with_image: bool,
}

/// Returns the order in which a tier is filled: the request's own basket before the pool, and in
/// each of them machines that have the image before the others. For the highest priority the image
/// takes precedence over the basket, because fetching an image takes longer than such users wait.
fn stages(request: &PlacementRequest) -> [Stage; 4] {
    let stage = |basket, with_image| Stage { basket, with_image };
    let own_basket = Some(request.basket);
    if request.priority == Priority::Production {
        [stage(own_basket, true), stage(None, true), stage(own_basket, false), stage(None, false)]
    } else {
        [stage(own_basket, true), stage(own_basket, false), stage(None, true), stage(None, false)]
    }
}

/// Progress of placing one request. Its tasks are interchangeable, so a machine that can't fit one
/// of them can't fit any other.
pub(super) struct Allocation<'a> {
    index: RequestIndex,
    pub(super) request: &'a mut PlacementRequest,
    remaining: u32,
    booked: u32,
    heavy_limit: usize,
}

/// Returns whether a failed search for `a` implies a failed one for `b`, apart from zone limits.
fn is_equivalent(a: &PlacementRequest, b: &PlacementRequest) -> bool {
    (a.team, a.resources, a.basket, a.zone, a.allows_spot, a.scale_out)
        == (b.team, b.resources, b.basket, b.zone, b.allows_spot, b.scale_out)
        && a.machine_types == b.machine_types
}

/// Returns whether only zone limits and the fields that [`is_equivalent`] compares decide placement.
fn is_unconstrained(request: &PlacementRequest) -> bool {
    !request.gang
        && !request.single_zone
        && request.excluded_machines.is_empty()
        && request.last_resort_machines.is_empty()
        && request.basket == Basket::Light
}

impl Packer {
    /// Places all requests. If no light task remains, the heavy tasks that remain are placed again
    /// without the limit on the heavy basket.
    fn place_all(&mut self, requests: &mut [PlacementRequest]) {
        let mut light_tasks_wait = false;
        let mut remaining_heavy: Vec<RequestTasks> = Vec::new();
        for (i, request) in requests.iter_mut().enumerate() {
            let index = RequestIndex(i);
            let tasks = self.place(index, request, self.heavy_limit);
            if tasks > 0 && request.basket == Basket::Heavy {
                remaining_heavy.push(RequestTasks { request: index, tasks });
            } else if tasks > 0 {
                light_tasks_wait = true;
                self.plan.unplaceable.push(RequestTasks { request: index, tasks });
            }
        }
        for RequestTasks { request: index, mut tasks } in remaining_heavy {
            if !light_tasks_wait {
                let request = &mut requests[index.0];
                request.count = tasks;
                tasks = self.place(index, request, usize::MAX);
            }
            if tasks > 0 {
                self.plan.unplaceable.push(RequestTasks { request: index, tasks });
            }
        }
    }

    /// Places a request's tasks and returns the number that remain.
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
        let already_failed = self.unsatisfied.iter().any(|other| {
            is_equivalent(request, other)
                && request.zone_limits.open_zones_are_within(&other.zone_limits)
        });
        if already_failed {
            return request.count;
        }
        let remaining = self.place_tasks(index, request, heavy_limit);
        if remaining > 0 {
            self.unsatisfied.push(request.clone());
        }
        remaining
    }

    /// Places a request's tasks tier by tier and on rented machines; returns the number that remain.
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
        for tier in TIERS_UP {
            self.fill_tier(&mut allocation, tier);
        }
        self.fill_last_resort(&mut allocation);
        for tier in TIERS_BOOTING {
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
            if !self.can_place_more(allocation) {
                return;
            }
            if stage.with_image {
                self.fill_with_image(allocation, stage.basket, tier);
            } else {
                self.fill_in_order(allocation, stage.basket, &groups);
            }
        }
    }

    /// Returns whether tasks remain and the team's limit permits another one.
    pub(super) fn can_place_more(&self, allocation: &Allocation<'_>) -> bool {
        let request = &allocation.request;
        let headroom = &self.team_headroom[request.team.index()];
        allocation.remaining > 0 && request.resources.fits(headroom)
    }

    /// Returns whether a heavy request is about to take machines from the pool (a `basket` of `None`)
    /// while the heavy basket has reached its limit.
    pub(super) fn is_at_heavy_limit(
        &self,
        allocation: &Allocation<'_>,
        basket: Option<Basket>,
    ) -> bool {
        basket.is_none()
            && allocation.request.basket == Basket::Heavy
            && self.heavy_machines >= allocation.heavy_limit
    }

    /// Assigns tasks to machines of the tier and basket that have the request's image.
    fn fill_with_image(
        &mut self,
        allocation: &mut Allocation<'_>,
        basket: Option<Basket>,
        tier: Tier,
    ) {
        for &index in self.image_index.bins_with(allocation.request.image).iter() {
            if !self.can_place_more(allocation) {
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

    /// Assigns tasks to machines of the basket in index order, regardless of their images: those with
    /// the request's image were filled in an earlier stage.
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
        while self.can_place_more(allocation) && !self.is_at_heavy_limit(allocation, basket) {
            let first = candidates
                .iter()
                .enumerate()
                .filter_map(|(n, candidate)| Some((n, (*candidate)?)))
                .min_by_key(|(_, candidate)| (self.bins[candidate.bin.0].index, candidate.bin));
            let Some((n, Candidate { bin, slot })) = first else { return };
            // Machines of other baskets have empty leaves, into which a task without resources fits.
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
        while self.can_place_more(allocation) && !self.is_at_heavy_limit(allocation, None) {
            let Some(bin) = self.scale_out.rent(allocation.request, self.bins.len()) else {
                return;
            };
            self.bins.push(bin);
            self.capacity_index.push(&self.bins);
            self.assign(allocation, BinIndex(self.bins.len() - 1));
        }
    }

    /// Assigns to a machine as many tasks as fit and as the zone and team limits permit, unless it
    /// is a last resort.
    fn assign(&mut self, allocation: &mut Allocation<'_>, index: BinIndex) {
        if !allocation.request.is_last_resort(&self.bins[index.0]) {
            self.assign_up_to(u32::MAX, allocation, index);
        }
    }

    /// Assigns to a machine at most `max_tasks` tasks and returns their number.
    pub(super) fn assign_up_to(
        &mut self,
        max_tasks: u32,
        allocation: &mut Allocation<'_>,
        index: BinIndex,
    ) -> u32 {
        let request = &mut *allocation.request;
        let bin = &mut self.bins[index.0];
        let is_best_effort = request.scale_out == ScaleOutPolicy::Spot;
        if request.excluded_machines.contains(&bin.index)
            || (bin.recently_vacated && is_best_effort)
        {
            return 0;
        }
        let headroom = &mut self.team_headroom[request.team.index()];
        let fitting =
            max_copies(&bin.free, &request.resources).min(max_copies(headroom, &request.resources));
        let fitting = u32::try_from(fitting).unwrap_or(u32::MAX);
        let count = allocation.remaining.min(request.zone_limits.remaining(bin.zone)).min(fitting);
        let count = count.min(max_tasks);
        if count == 0 {
            return 0;
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
        count
    }
}
