//! The decision of what runs where: capped baskets filled first fit in index order.
//!
//! Pure: the caller hands in machines as [`Bin`]s and waiting tasks as [`PlacementRequest`]s in order of
//! service, and gets placements and wishes for new machines. `docs/design.md` says which parts
//! are the paper's.

pub mod capacity_index;

use crate::ids::Amount;
use crate::placement::capacity_index::{CapacityIndex, Place};
use crate::wire::Priority;
use foldhash::HashMap;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Where fewer machines can still be held than one for so many that there are, larger ones go first.
pub const RENTS_FEW: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Basket {
    Light,
    Heavy,
}

/// The images of a machine, numbered.
pub type Images = Arc<[u32]>;

/// A machine as placement sees it.
#[derive(Debug, Clone)]
pub struct Bin {
    /// The fixed index; bins are handed in sorted by it.
    pub index: u64,
    pub zone: usize,
    pub flavor: usize,
    pub spot: bool,
    pub free: Amount,
    /// None: in the pool.
    pub basket: Option<Basket>,
    /// False for a machine that is still booting: work is booked on it, not started.
    pub ready: bool,
    /// Images that it is believed to have.
    pub images: Images,
    /// More urgent work left it a moment ago, and more may come: idle-time work keeps off.
    pub vacated: bool,
}

/// What decides when a job is served; the fields in order of weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedJob {
    pub urgency: Priority,
    /// No service whose replicas ran before. One that was moved must find the room that it was
    /// moved for, or it is down while a new one starts there.
    pub fresh: bool,
    /// It does not fit into its team's guarantee together with the team's earlier jobs.
    pub beyond: bool,
    /// No aim is set for its class.
    pub aimless: bool,
    /// It has started as many tasks as its team may run at once: a big one does not starve the
    /// small ones behind it.
    pub had_turn: bool,
    /// Aims at start that it has missed: what can still start in time goes first.
    pub missed: usize,
    /// Its tasks; zero for one that has missed every aim, so that those go by age and nobody
    /// waits for ever behind smaller ones just as late.
    pub size: u64,
    /// Its number in order of age.
    pub age: usize,
    pub team: usize,
}

/// The order of service: urgency, what ran before, guarantee, turn, missed aims, then size, since
/// the users count jobs: many small ones start in the time that one large one takes. Among teams
/// the guarantee decides first; which of its jobs a team serves in its turn does not depend on it.
pub fn order_of_service(claims: &mut [QueuedJob]) {
    claims.sort();
    let mut turns: BTreeMap<(Priority, usize), Vec<usize>> = BTreeMap::new();
    for (place, claim) in claims.iter().enumerate() {
        turns.entry((claim.urgency, claim.team)).or_default().push(place);
    }
    for places in turns.values() {
        let mut jobs: Vec<QueuedJob> = places.iter().map(|place| claims[*place]).collect();
        jobs.sort_by_key(|job| {
            (job.fresh, job.aimless, job.missed, job.had_turn, job.size, job.age)
        });
        for (place, job) in places.iter().zip(jobs) {
            claims[*place] = job;
        }
    }
}

/// Waiting tasks of one job; they are all alike.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    pub team: usize,
    pub urgency: Priority,
    pub need: Amount,
    pub basket: Basket,
    pub count: u32,
    pub zone: Option<usize>,
    /// None: any.
    pub flavors: Option<Vec<usize>>,
    pub spot: bool,
    /// How many more tasks each zone may hold (spread); `u32::MAX` where nothing limits it.
    pub zone_room: Vec<u32>,
    pub one_zone: bool,
    pub image: u32,
    /// Indices of machines on which tasks of this job failed.
    pub avoid: Vec<u64>,
    /// All of them start at once, or none does.
    pub gang: bool,
    /// Seconds. The tightest aim at start of its class.
    pub within_s: Option<f64>,
    /// Seconds until it misses its next aim at start; none if it has missed them all.
    pub left_s: Option<f64>,
    /// Which machines are rented for it.
    pub rents: ScaleOutPolicy,
}

/// Which machines an ask is worth renting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScaleOutPolicy {
    Any,
    /// Idle-time work: it takes what room there is, and machines that cost little.
    Spot,
    Nothing,
}

/// A kind of machine that could be rented.
#[derive(Debug, Clone)]
pub struct MachineTypeOffer {
    pub flavor: usize,
    pub zone: usize,
    pub spot: bool,
    pub price: f64,
    pub size: Amount,
    /// How many may still be asked for.
    pub most: u32,
    /// Machines of ours in this zone already; renting goes where there are fewest.
    pub held: u32,
}

#[derive(Debug, Clone, Default)]
pub struct Input {
    pub bins: Vec<Bin>,
    /// In order of service.
    pub asks: Vec<PlacementRequest>,
    /// What each team may still use.
    pub team_room: Vec<Amount>,
    pub offers: Vec<MachineTypeOffer>,
    /// Machines that the heavy basket may hold.
    pub heavy_cap: usize,
    /// How many more machines may be rented, of whatever kind.
    pub rents_left: u32,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// (ask, bin): start one task of the ask there now.
    pub places: Vec<(usize, usize)>,
    /// (ask, tasks): those booked on machines that are still booting or now to be rented.
    pub booked: Vec<(usize, u32)>,
    /// (ask, tasks): those for which there is neither room nor an offer.
    pub short: Vec<(usize, u32)>,
    /// How many machines of each offer to rent.
    pub hires: Vec<u32>,
}

/// Heavy: all GPUs of the largest GPU type, or over the threshold of any resource of the
/// largest machine it may use.
pub fn basket_of(need: &Amount, sizes: &[Amount], threshold: f64) -> Basket {
    let most = |f: fn(&Amount) -> u64| sizes.iter().map(f).max().unwrap_or(0);
    let gpus = most(|a| a.gpu);
    if need.gpu > 0 {
        return if gpus > 0 && need.gpu >= gpus { Basket::Heavy } else { Basket::Light };
    }
    let over = |need: u64, whole: u64| need as f64 > whole as f64 * threshold;
    if over(need.cpu, most(|a| a.cpu)) || over(need.ram, most(|a| a.ram)) {
        Basket::Heavy
    } else {
        Basket::Light
    }
}

/// Whether the ask may use machines of this zone, type and kind.
pub fn allowed(ask: &PlacementRequest, zone: usize, flavor: usize, spot: bool) -> bool {
    (ask.spot || !spot)
        && ask.zone.is_none_or(|z| z == zone)
        && ask.flavors.as_ref().is_none_or(|list| list.contains(&flavor))
}

struct Planner {
    bins: Vec<Bin>,
    room_index: CapacityIndex,
    /// Bins that have each image that is asked for, in order of their index.
    warm: HashMap<u32, Vec<usize>>,
    offers: Vec<MachineTypeOffer>,
    team_room: Vec<Amount>,
    /// Machines in the heavy basket.
    heavy: usize,
    heavy_cap: usize,
    rents_left: u32,
    /// Asks for which nothing was left. Room only shrinks within a plan, so that one alike needs
    /// no look at hundreds of machines: guests come with hundreds of small jobs.
    hopeless: Vec<PlacementRequest>,
    plan: Plan,
}

/// Whether what has no room for one has none for the other either.
fn alike(a: &PlacementRequest, b: &PlacementRequest) -> bool {
    (a.team, a.need, a.basket, a.zone, a.spot, a.rents)
        == (b.team, b.need, b.basket, b.zone, b.spot, b.rents)
        && a.flavors == b.flavors
}

/// Whether nothing but what [`alike`] compares, and its zones, decides where it may go.
fn plain(ask: &PlacementRequest) -> bool {
    !ask.gang && !ask.one_zone && ask.avoid.is_empty() && ask.basket == Basket::Light
}

/// Whether each zone that is open to one was open to the other until the end of its search.
fn within(a: &PlacementRequest, b: &PlacementRequest) -> bool {
    a.zone_room.iter().zip(&b.zone_room).all(|(a, b)| *a == 0 || *b > 0)
}

/// An ask on its way through the bins: its tasks are alike, so a bin that is full for one is full
/// for all.
struct Filling<'a> {
    at: usize,
    ask: &'a mut PlacementRequest,
    left: u32,
    booked: u32,
    cap: usize,
}

impl Planner {
    /// Serves an ask; a gang whose tasks don't all find room on machines that are up starts
    /// none of them, though what it would need is booked and rented all the same.
    fn serve(&mut self, at: usize, ask: &mut PlacementRequest, cap: usize) -> u32 {
        if !ask.gang {
            if plain(ask)
                && self.hopeless.iter().any(|other| alike(ask, other) && within(ask, other))
            {
                return ask.count;
            }
            let left = self.fill(at, ask, cap);
            if left > 0 && plain(ask) {
                self.hopeless.push(ask.clone());
            }
            return left;
        }
        let (bins, room) = (self.bins.clone(), self.team_room.clone());
        let (places, zone_room, zone) = (self.plan.places.len(), ask.zone_room.clone(), ask.zone);
        let left = self.fill(at, ask, cap);
        let placed = self.plan.places.len() - places;
        if placed as u32 == ask.count {
            return left;
        }
        self.plan.places.truncate(places);
        self.plan.booked.retain(|(ask, _)| *ask != at);
        (ask.zone_room, ask.zone) = (zone_room, zone);
        self.team_room = room;
        for (i, was) in bins.into_iter().enumerate() {
            let bin = &mut self.bins[i];
            if bin.ready && (bin.free, bin.basket) != (was.free, was.basket) {
                *bin = was;
                self.room_index.changed(i, &self.bins[i]);
            }
        }
        let heavy = self.bins.iter().filter(|bin| bin.basket == Some(Basket::Heavy));
        self.heavy = heavy.count();
        ask.count
    }

    /// Places up to the ask's count; gives how many found nothing.
    fn fill(&mut self, at: usize, ask: &mut PlacementRequest, cap: usize) -> u32 {
        if ask.one_zone && ask.zone.is_none() {
            // All in one zone: the one in which most of them find room on machines that are up,
            // and of those the first.
            let room = |zone: usize| -> u64 {
                self.bins
                    .iter()
                    .filter(|bin| bin.ready && bin.zone == zone)
                    .filter(|bin| allowed(ask, zone, bin.flavor, bin.spot))
                    .filter(|bin| bin.basket.is_none_or(|basket| basket == ask.basket))
                    .map(|bin| copies(&bin.free, &ask.need).min(u64::from(ask.count)))
                    .sum::<u64>()
                    .min(u64::from(ask.count))
            };
            ask.zone = (0..ask.zone_room.len()).rev().max_by_key(|zone| room(*zone));
        }
        let mut filling = Filling { at, left: ask.count, booked: 0, cap, ask };
        let basket = Some(filling.ask.basket);
        // Machines that are up before booting ones, spot before ordinary, its own basket before the
        // pool, those that have the image before those that have not, then the fixed index. For the
        // most urgent work the image goes before the basket: a fetch takes longer than its users
        // wait.
        let stages: [(Place, bool); 4] = if filling.ask.urgency == Priority::Production {
            [(basket, true), (None, true), (basket, false), (None, false)]
        } else {
            [(basket, true), (basket, false), (None, true), (None, false)]
        };
        for (booting, ordinary) in [(false, false), (false, true), (true, false), (true, true)] {
            let room_index: Vec<usize> = self
                .room_index
                .kinds()
                .filter(|(_, room_tree)| {
                    (room_tree.booting, room_tree.ordinary) == (booting, ordinary)
                })
                .filter(|(_, room_tree)| {
                    allowed(filling.ask, room_tree.zone, room_tree.flavor, !room_tree.ordinary)
                })
                .map(|(n, _)| n)
                .collect();
            if room_index.is_empty() {
                continue;
            }
            for (place, warm) in stages {
                if !self.goes_on(&filling) {
                    break;
                }
                if warm {
                    self.fill_warm(&mut filling, place, booting, ordinary);
                } else {
                    self.fill_in_order(&mut filling, place, &room_index);
                }
            }
        }
        while self.goes_on(&filling) && !self.is_capped(&filling, None) {
            let Some(i) = self.rent(filling.ask) else { break };
            self.put(&mut filling, i);
        }
        let Filling { left, booked, .. } = filling;
        if booked > 0 {
            self.plan.booked.push((at, booked));
        }
        left
    }

    fn goes_on(&self, filling: &Filling) -> bool {
        filling.left > 0 && filling.ask.need.fits(&self.team_room[filling.ask.team])
    }

    /// Whether the ask may take no machine from there: the heavy basket is full.
    fn is_capped(&self, filling: &Filling, place: Place) -> bool {
        place.is_none() && filling.ask.basket == Basket::Heavy && self.heavy >= filling.cap
    }

    /// Bins of this stage that have the ask's image.
    fn fill_warm(&mut self, filling: &mut Filling, place: Place, booting: bool, ordinary: bool) {
        let Some(bins) = self.warm.remove(&filling.ask.image) else { return };
        for &i in &bins {
            if !self.goes_on(filling) {
                break;
            }
            let bin = &self.bins[i];
            if bin.basket == place
                && (!bin.ready, !bin.spot) == (booting, ordinary)
                && allowed(filling.ask, bin.zone, bin.flavor, bin.spot)
                && !self.is_capped(filling, place)
            {
                self.put(filling, i);
            }
        }
        self.warm.insert(filling.ask.image, bins);
    }

    /// Bins of this stage in index order, whatever images they have: those that have the ask's were
    /// filled before.
    fn fill_in_order(&mut self, filling: &mut Filling, place: Place, room_index: &[usize]) {
        let need = filling.ask.need;
        let mut next: Vec<_> =
            room_index.iter().map(|&n| (n, self.room_index.next(n, place, &need, 0))).collect();
        while self.goes_on(filling) && !self.is_capped(filling, place) {
            let first = next
                .iter()
                .enumerate()
                .filter_map(|(n, (_, found))| Some((n, (*found)?)))
                .min_by_key(|(_, (i, _))| (self.bins[*i].index, *i));
            let Some((n, (i, slot))) = first else { return };
            // A task that needs nothing "fits" what stands elsewhere, too.
            if self.bins[i].basket == place {
                self.put(filling, i);
            }
            let room_tree = next[n].0;
            next[n].1 = if filling.ask.zone_room[self.bins[i].zone] == 0 {
                None
            } else {
                self.room_index.next(room_tree, place, &need, slot + 1)
            };
        }
    }

    /// Puts as many tasks into a bin as fit and may go there.
    fn put(&mut self, filling: &mut Filling, i: usize) {
        let ask = &mut *filling.ask;
        let bin = &mut self.bins[i];
        if ask.avoid.contains(&bin.index) || (bin.vacated && ask.rents == ScaleOutPolicy::Spot) {
            return;
        }
        let team = &mut self.team_room[ask.team];
        let room = copies(&bin.free, &ask.need).min(copies(team, &ask.need));
        let room = u32::try_from(room).unwrap_or(u32::MAX);
        let count = filling.left.min(ask.zone_room[bin.zone]).min(room);
        if count == 0 {
            return;
        }
        let need = ask.need.times(u64::from(count));
        if bin.basket.is_none() {
            self.heavy += usize::from(ask.basket == Basket::Heavy);
        }
        bin.free = bin.free.minus(&need);
        bin.basket = Some(ask.basket);
        *team = team.minus(&need);
        if ask.zone_room[bin.zone] != u32::MAX {
            ask.zone_room[bin.zone] -= count;
        }
        filling.left -= count;
        if bin.ready {
            let places = &mut self.plan.places;
            places.extend(std::iter::repeat_n((filling.at, i), count as usize));
        } else {
            filling.booked += count;
        }
        self.room_index.changed(i, &self.bins[i]);
    }

    /// Opens a bin for the cheapest offer that the ask may use; among equals, in the zone that
    /// holds fewest machines. Where few more machines can be held, those that hold most come first.
    fn rent(&mut self, ask: &PlacementRequest) -> Option<usize> {
        if self.rents_left == 0 {
            return None;
        }
        let few = (self.rents_left as usize) < self.bins.len() / RENTS_FEW;
        let choice = (0..self.offers.len())
            .filter(|&i| {
                let offer = &self.offers[i];
                let pays = match ask.rents {
                    ScaleOutPolicy::Any => true,
                    ScaleOutPolicy::Spot => offer.spot,
                    ScaleOutPolicy::Nothing => false,
                };
                pays && offer.most > 0
                    && allowed(ask, offer.zone, offer.flavor, offer.spot)
                    && ask.zone_room[offer.zone] > 0
                    && ask.need.fits(&offer.size)
            })
            .min_by(|&a, &b| {
                let (a, b) = (&self.offers[a], &self.offers[b]);
                let holds = |o: &MachineTypeOffer| if few { copies(&o.size, &ask.need) } else { 0 };
                let per = |o: &MachineTypeOffer| o.price / copies(&o.size, &ask.need).max(1) as f64;
                holds(b)
                    .cmp(&holds(a))
                    .then(per(a).total_cmp(&per(b)))
                    .then(a.held.cmp(&b.held))
                    .then(a.zone.cmp(&b.zone))
            })?;
        let offer = &mut self.offers[choice];
        offer.most -= 1;
        offer.held += 1;
        self.rents_left -= 1;
        self.plan.hires[choice] += 1;
        self.bins.push(Bin {
            index: u64::MAX,
            zone: offer.zone,
            flavor: offer.flavor,
            spot: offer.spot,
            free: offer.size,
            basket: None,
            ready: false,
            images: Images::default(),
            vacated: false,
        });
        self.room_index.push(&self.bins);
        Some(self.bins.len() - 1)
    }
}

/// How many times `need` fits into `room`.
pub fn copies(room: &Amount, need: &Amount) -> u64 {
    let part = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
    part(room.cpu, need.cpu).min(part(room.gpu, need.gpu)).min(part(room.ram, need.ram))
}

pub fn plan(input: Input) -> Plan {
    let Input { bins, mut asks, team_room, offers, heavy_cap, rents_left } = input;
    let hires = vec![0; offers.len()];
    let mut warm: HashMap<u32, Vec<usize>> =
        asks.iter().map(|ask| (ask.image, Vec::new())).collect();
    // Most bins of a full fleet have no room for any ask.
    let least = asks.iter().map(|ask| ask.need).reduce(|a, b| a.least(&b)).unwrap_or_default();
    for (i, bin) in bins.iter().enumerate().filter(|(_, bin)| least.fits(&bin.free)) {
        for image in bin.images.iter() {
            if let Some(bins) = warm.get_mut(image) {
                bins.push(i);
            }
        }
    }
    for of_image in warm.values_mut() {
        of_image.sort_by_key(|&i| (bins[i].index, i));
    }
    let mut planner = Planner {
        room_index: CapacityIndex::new(&bins),
        warm,
        heavy: bins.iter().filter(|bin| bin.basket == Some(Basket::Heavy)).count(),
        bins,
        offers,
        team_room,
        heavy_cap,
        rents_left,
        hopeless: Vec::new(),
        plan: Plan { hires, ..Plan::default() },
    };
    let mut light_waits = false;
    let mut held: Vec<(usize, u32)> = Vec::new();
    for (at, ask) in asks.iter_mut().enumerate() {
        let left = planner.serve(at, ask, planner.heavy_cap);
        if left > 0 && ask.basket == Basket::Heavy {
            held.push((at, left));
        } else if left > 0 {
            light_waits = true;
            planner.plan.short.push((at, left));
        }
    }
    for (at, mut left) in held {
        // The cap yields while no light task waits.
        if !light_waits {
            asks[at].count = left;
            left = planner.serve(at, &mut asks[at], usize::MAX);
        }
        if left > 0 {
            planner.plan.short.push((at, left));
        }
    }
    planner.plan
}

#[cfg(test)]
mod tests;
