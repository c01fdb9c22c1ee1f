use super::scale_out::FLEET_PER_RENTAL_NEAR_LIMIT;
use super::{
    Basket, Bin, BinIndex, Images, MachineTypeOffer, PlacementInput, PlacementRequest,
    PlannedStart, PreemptionPolicy, QueuedJob, RequestIndex, RequestTasks, ScaleOutPolicy,
    ZoneLimits, plan, sort_by_service_order,
};
use crate::ids::{Amount, MachineTypeId, TeamId, ZoneId};
use crate::wire::Priority;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn is_last_resort(request: &PlacementRequest, bin: &Bin) -> bool {
    bin.last_resort || request.last_resort_machines.contains(&bin.index)
}

/// Returns the sort key by which machines are considered: up before booting, spot before on-demand,
/// the own basket before the pool, machines with the image before the others, then the fixed index.
/// For the highest priority the image takes precedence over the basket. Machines that are a last
/// resort come after all others, by their index alone.
fn preference(request: &PlacementRequest, bin: &Bin) -> impl Ord + use<> {
    if is_last_resort(request, bin) {
        return (true, false, false, false, bin.index);
    }
    let lacks_image = !bin.images.contains(&request.image);
    let in_pool = bin.basket.is_none();
    let (first, second) = if request.priority == Priority::Production {
        (lacks_image, in_pool)
    } else {
        (in_pool, lacks_image)
    };
    (false, !bin.spot, first, second, bin.index)
}

/// Reference implementation: places one task at a time and compares all machines for each.
fn reference_starts(input: &PlacementInput) -> Vec<PlannedStart> {
    let mut bins = input.bins.clone();
    let mut headroom = input.team_headroom.clone();
    let mut starts = Vec::new();
    let mut waiting = Vec::new();
    let mut light_tasks_wait = false;
    let mut requests = input.requests.clone();
    // The request that tried each machine that is a last resort for all.
    let mut tried: BTreeMap<usize, usize> = BTreeMap::new();
    for round in 0..2 {
        for (at, request) in requests.iter_mut().enumerate() {
            if round == 1 && (light_tasks_wait || !waiting.contains(&at)) {
                continue;
            }
            let before =
                (bins.clone(), headroom.clone(), starts.len(), request.clone(), tried.clone());
            while request.count > 0 {
                let heavy = bins.iter().filter(|b| b.basket == Some(Basket::Heavy)).count();
                let at_heavy_limit = round == 0 && heavy >= input.heavy_limit;
                let is_eligible = |i: usize| {
                    let b = &bins[i];
                    b.ready
                        && (!b.spot || request.allows_spot)
                        && request.zone.is_none_or(|z| z == b.zone)
                        && request
                            .machine_types
                            .as_ref()
                            .is_none_or(|list| list.contains(&b.machine_type))
                        && request.resources.fits(&b.free)
                        && request.resources.fits(&headroom[request.team.index()])
                        && request.zone_limits.remaining(b.zone) > 0
                        && !request.excluded_machines.contains(&b.index)
                        && tried.get(&i).is_none_or(|by| request.gang && *by == at)
                        && (request.scale_out != ScaleOutPolicy::Spot || !b.recently_vacated)
                        && match b.basket {
                            Some(basket) => basket == request.basket,
                            None => request.basket == Basket::Light || !at_heavy_limit,
                        }
                };
                let best = (0..bins.len())
                    .filter(|&i| is_eligible(i))
                    .min_by_key(|&i| preference(request, &bins[i]));
                let Some(i) = best else { break };
                bins[i].free = bins[i].free.minus(&request.resources);
                bins[i].basket = Some(request.basket);
                headroom[request.team.index()] =
                    headroom[request.team.index()].minus(&request.resources);
                request.zone_limits.consume(bins[i].zone, 1);
                request.count -= 1;
                if !request.gang && is_last_resort(request, &bins[i]) {
                    // One task at a time.
                    request.excluded_machines.push(bins[i].index);
                }
                if bins[i].last_resort {
                    tried.insert(i, at);
                }
                starts.push(PlannedStart { request: RequestIndex(at), bin: BinIndex(i) });
            }
            if request.gang && request.count > 0 {
                starts.truncate(before.2);
                (bins, headroom, *request, tried) = (before.0, before.1, before.3, before.4);
            }
            if round == 0 && request.count > 0 {
                waiting.push(at);
                light_tasks_wait |= request.basket == Basket::Light;
            }
        }
    }
    starts
}

#[test]
fn smaller_jobs_of_a_team_go_first_without_changing_the_order_of_teams() {
    let mut random = StdRng::seed_from_u64(5);
    for _ in 0..200 {
        let count = random.random_range(0..20);
        let mut jobs: Vec<QueuedJob> = (0..count)
            .map(|age| QueuedJob {
                priority: if random.random() { Priority::High } else { Priority::Production },
                first_start: random.random(),
                over_quota: random.random(),
                without_slo: random.random(),
                reached_team_limit: random.random(),
                missed_slos: random.random_range(0..3),
                size: random.random_range(0..9),
                age_rank: age,
                team: TeamId::new(random.random_range(0..3)),
            })
            .collect();
        let mut sorted = jobs.clone();
        sorted.sort();
        sort_by_service_order(&mut jobs);
        let team_position = |job: &QueuedJob| (job.priority, job.team);
        assert!(jobs.iter().map(team_position).eq(sorted.iter().map(team_position)));
        for (at, a) in jobs.iter().enumerate() {
            for b in jobs[at + 1..].iter().filter(|b| team_position(b) == team_position(a)) {
                let order_before_size = |job: &QueuedJob| {
                    (job.first_start, job.without_slo, job.missed_slos, job.reached_team_limit)
                };
                assert!(order_before_size(a) <= order_before_size(b));
                if order_before_size(a) == order_before_size(b) {
                    assert!((a.size, a.age_rank) < (b.size, b.age_rank));
                }
            }
        }
        jobs.sort();
        assert_eq!(jobs, sorted);
    }
}

const MACHINE_SIZE: Amount = Amount { cpu: 16_000_000, gpu: 0, ram: 64_000_000 };

/// Returns the index of the n-th machine; machines are therefore not passed in index order.
fn shuffled_index(n: u64) -> u64 {
    (n * 7919) % 10_007
}

fn random_bin(random: &mut StdRng, n: u64) -> Bin {
    let allocated = Amount::request(f64::from(random.random_range(0..17u32)), 0.0, 0.0);
    let basket = match random.random_range(0..3) {
        0 => Some(Basket::Heavy),
        1 => Some(Basket::Light),
        _ => None,
    };
    Bin {
        index: shuffled_index(n),
        zone: ZoneId::new(random.random_range(0..3)),
        machine_type: MachineTypeId::new(random.random_range(0..2)),
        spot: random.random(),
        free: if basket.is_some() { MACHINE_SIZE.minus(&allocated) } else { MACHINE_SIZE },
        basket,
        ready: true,
        images: (0..3u32).filter(|_| random.random()).collect(),
        recently_vacated: random.random(),
        last_resort: random.random_range(0..9) == 0,
    }
}

fn random_request(random: &mut StdRng, machines: u64, tasks: u32) -> PlacementRequest {
    let cpus = f64::from(random.random_range(1..15u32));
    let resources = Amount::request(cpus, 0.0, cpus * 3.0);
    let spread = random.random::<bool>();
    PlacementRequest {
        team: TeamId::new(random.random_range(0..2)),
        priority: if random.random() { Priority::Production } else { Priority::High },
        resources,
        basket: Basket::classify(&resources, &[MACHINE_SIZE], 0.5),
        count: random.random_range(1..tasks),
        zone: random.random::<bool>().then(|| ZoneId::new(random.random_range(0..3))),
        machine_types: random
            .random::<bool>()
            .then(|| vec![MachineTypeId::new(random.random_range(0..2))]),
        allows_spot: random.random(),
        zone_limits: if spread { ZoneLimits::uniform(3, 3) } else { ZoneLimits::unlimited(3) },
        single_zone: false,
        image: random.random_range(0..3),
        excluded_machines: (0..machines)
            .filter(|_| random.random_range(0..9) == 0)
            .map(shuffled_index)
            .collect(),
        last_resort_machines: (0..machines)
            .filter(|_| random.random_range(0..9) == 0)
            .map(shuffled_index)
            .collect::<BTreeSet<u64>>()
            .into_iter()
            .collect(),
        gang: random.random_range(0..4) == 0,
        start_slo_s: None,
        slo_slack_s: None,
        scale_out: if random.random() { ScaleOutPolicy::Any } else { ScaleOutPolicy::Spot },
        preemption: PreemptionPolicy::Anywhere,
    }
}

fn random_input(random: &mut StdRng, machines: u64, tasks: u32) -> PlacementInput {
    let bins = (0..random.random_range(0..machines)).map(|n| random_bin(random, n)).collect();
    let requests =
        (0..random.random_range(0..8)).map(|_| random_request(random, machines, tasks)).collect();
    let cpu = random.random_range(0..machines * 7_500_000);
    let headroom = Amount { cpu, gpu: 0, ram: u64::MAX };
    PlacementInput {
        bins,
        requests,
        team_headroom: vec![headroom; 2],
        offers: vec![],
        heavy_limit: 3,
        rental_limit: u32::MAX,
    }
}

#[test]
fn plan_starts_the_same_tasks_as_the_reference_implementation() {
    for seed in 0..3000 {
        // Most inputs are small, so that a failure is easy to analyse; some have hundreds of machines.
        let (machines, tasks) = if seed % 100 == 0 { (600, 300) } else { (12, 9) };
        let input = random_input(&mut StdRng::seed_from_u64(seed), machines, tasks);
        let expected = reference_starts(&input);
        assert_eq!(plan(input).starts, expected, "seed {seed}");
    }
}

fn request(count: u32, cpus: f64) -> PlacementRequest {
    let size = Amount::capacity(16.0, 0.0, 64.0);
    let resources = Amount::request(cpus, 0.0, 1.0);
    PlacementRequest {
        team: TeamId::new(0),
        priority: Priority::High,
        resources,
        basket: Basket::classify(&resources, &[size], 0.5),
        count,
        zone: None,
        machine_types: None,
        allows_spot: true,
        zone_limits: ZoneLimits::unlimited(2),
        single_zone: false,
        image: 0,
        excluded_machines: vec![],
        last_resort_machines: vec![],
        gang: false,
        start_slo_s: None,
        slo_slack_s: None,
        scale_out: ScaleOutPolicy::Any,
        preemption: PreemptionPolicy::Anywhere,
    }
}

const ZONE_A: ZoneId = ZoneId::new(0);
const ZONE_B: ZoneId = ZoneId::new(1);

fn tasks_of_first(tasks: u32) -> RequestTasks {
    RequestTasks { request: RequestIndex(0), tasks }
}

fn offer(zone: ZoneId, spot: bool, price: f64) -> MachineTypeOffer {
    MachineTypeOffer {
        machine_type: MachineTypeId::new(0),
        zone,
        spot,
        price,
        capacity: Amount::capacity(16.0, 0.0, 64.0),
        available: 2,
        machines_in_zone: 0,
    }
}

#[test]
fn machines_are_rented_cheapest_first_and_balanced_over_zones() {
    let unlimited = Amount { cpu: u64::MAX, gpu: 0, ram: u64::MAX };
    let input = PlacementInput {
        requests: vec![request(24, 4.0)],
        team_headroom: vec![unlimited],
        offers: vec![offer(ZONE_A, false, 0.9), offer(ZONE_A, true, 0.3), offer(ZONE_B, true, 0.3)],
        heavy_limit: 1,
        rental_limit: u32::MAX,
        ..PlacementInput::default()
    };
    let plan = plan(input);
    assert_eq!(plan.scale_out, [2, 2, 2]);
    assert_eq!(plan.booked, [tasks_of_first(24)]);
    assert!(plan.unplaceable.is_empty());
}

/// Near the machine limit, larger machines take precedence over those with a lower price per task.
/// At the limit, nothing is rented.
#[test]
fn larger_machines_are_rented_first_near_the_machine_limit() {
    let unlimited = Amount { cpu: u64::MAX, gpu: 0, ram: u64::MAX };
    let large = MachineTypeOffer {
        capacity: offer(ZONE_A, false, 0.0).capacity.times(4),
        ..offer(ZONE_A, false, 9.0)
    };
    let small = MachineTypeOffer { available: 1000, ..offer(ZONE_A, true, 0.3) };
    let fully_used = Bin {
        index: 0,
        zone: ZONE_A,
        machine_type: MachineTypeId::new(0),
        spot: false,
        free: Amount::default(),
        basket: Some(Basket::Light),
        ready: true,
        images: Images::default(),
        recently_vacated: false,
        last_resort: false,
    };
    let rented = |rental_limit: u32| {
        let input = PlacementInput {
            bins: (0..FLEET_PER_RENTAL_NEAR_LIMIT as u64 * 3)
                .map(|n| Bin { index: n, ..fully_used.clone() })
                .collect(),
            requests: vec![request(200, 4.0)],
            team_headroom: vec![unlimited],
            offers: vec![small.clone(), large.clone()],
            heavy_limit: 1,
            rental_limit,
        };
        plan(input).scale_out
    };
    assert_eq!(rented(0), [0, 0]);
    assert_eq!(rented(2), [0, 2]);
    let far_from_limit = rented(10_000);
    assert!(far_from_limit[0] > 0 && far_from_limit[1] == 0, "{far_from_limit:?}");
}

#[test]
fn a_team_at_its_limit_rents_no_more_machines() {
    let input = PlacementInput {
        requests: vec![request(9, 4.0)],
        team_headroom: vec![Amount { cpu: 8_000_000, gpu: 0, ram: u64::MAX }],
        offers: vec![offer(ZONE_A, true, 0.3)],
        heavy_limit: 1,
        rental_limit: u32::MAX,
        ..PlacementInput::default()
    };
    let plan = plan(input);
    assert_eq!(
        (plan.scale_out, plan.booked, plan.unplaceable),
        (vec![1], vec![tasks_of_first(2)], vec![tasks_of_first(7)])
    );
}

fn machine_with_free_cpus(index: u64, zone: ZoneId, cpus: f64, ready: bool) -> Bin {
    let free = Amount::capacity(cpus, 0.0, 64.0);
    Bin { index, ready, ..Bin::booting(zone, MachineTypeId::new(0), false, free) }
}

/// A job whose tasks must share a zone waited for ever for the first zone, if no zone had free capacity and only another
/// one could get some.
#[test]
fn tasks_that_share_a_zone_use_the_zone_that_can_get_capacity() {
    let unlimited = Amount { cpu: u64::MAX, gpu: 0, ram: u64::MAX };
    let planned = |gang: bool, bins: Vec<Bin>, offers: Vec<MachineTypeOffer>| {
        plan(PlacementInput {
            bins,
            requests: vec![PlacementRequest { single_zone: true, gang, ..request(2, 6.0) }],
            team_headroom: vec![unlimited],
            offers,
            heavy_limit: 1,
            rental_limit: u32::MAX,
        })
    };
    let offers = |zone| vec![offer(zone, false, 0.9)];
    for (zone, gang) in [(ZONE_A, false), (ZONE_A, true), (ZONE_B, false), (ZONE_B, true)] {
        let full = |zone| machine_with_free_cpus(0, zone, 1.0, true);
        let both_full = vec![full(ZONE_A), full(ZONE_B)];
        assert_eq!(
            planned(gang, both_full.clone(), offers(zone)).scale_out,
            [1],
            "{zone:?} {gang}"
        );
        let booting = machine_with_free_cpus(1, zone, 16.0, false);
        let plan = planned(gang, [both_full, vec![booting]].concat(), vec![]);
        assert!(gang || plan.booked == [tasks_of_first(2)], "{zone:?}");
        // A part of a gang that fits on machines that are up is of no use where the rest never fits.
        let other = if zone == ZONE_A { ZONE_B } else { ZONE_A };
        let part = vec![machine_with_free_cpus(0, other, 6.0, true)];
        assert_eq!(planned(true, part.clone(), offers(zone)).scale_out, [1], "{zone:?}");
        assert_eq!(planned(false, part, offers(zone)).starts.len(), 1);
    }
}
