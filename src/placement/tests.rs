use super::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The order in which an ask looks at bins: machines that are up before booting ones, spot
/// before ordinary, its own basket before the pool, those that have the image before those that
/// have not, then the fixed index. For the most urgent work the image goes before the basket:
/// a fetch takes longer than its users wait.
fn rank(ask: &PlacementRequest, bin: &Bin) -> (bool, bool, bool, bool, u64) {
    let cold = !bin.images.contains(&ask.image);
    let pool = bin.basket.is_none();
    let (first, second) =
        if ask.urgency == Priority::Production { (cold, pool) } else { (pool, cold) };
    (!bin.ready, !bin.spot, first, second, bin.index)
}

/// The slow plain model: one task at a time, each looking at every bin afresh.
fn model(input: &Input) -> Vec<(usize, usize)> {
    let mut bins = input.bins.clone();
    let mut team = input.team_room.clone();
    let mut places = Vec::new();
    let mut waiting = Vec::new();
    let mut light_waits = false;
    let mut asks = input.asks.clone();
    for round in 0..2 {
        for (at, ask) in asks.iter_mut().enumerate() {
            if round == 1 && (light_waits || !waiting.contains(&at)) {
                continue;
            }
            let before = (bins.clone(), team.clone(), places.len(), ask.clone());
            while ask.count > 0 {
                let heavy = bins.iter().filter(|b| b.basket == Some(Basket::Heavy)).count();
                let full = round == 0 && heavy >= input.heavy_cap;
                let fit = |b: &Bin| {
                    b.ready
                        && (!b.spot || ask.spot)
                        && ask.zone.is_none_or(|z| z == b.zone)
                        && ask.flavors.as_ref().is_none_or(|list| list.contains(&b.flavor))
                        && ask.need.fits(&b.free)
                        && ask.need.fits(&team[ask.team])
                        && ask.zone_room[b.zone] > 0
                        && !ask.avoid.contains(&b.index)
                        && (ask.rents != ScaleOutPolicy::Spot || !b.vacated)
                        && match b.basket {
                            Some(basket) => basket == ask.basket,
                            None => ask.basket == Basket::Light || !full,
                        }
                };
                let best =
                    (0..bins.len()).filter(|&i| fit(&bins[i])).min_by_key(|&i| rank(ask, &bins[i]));
                let Some(i) = best else { break };
                bins[i].free = bins[i].free.minus(&ask.need);
                bins[i].basket = Some(ask.basket);
                team[ask.team] = team[ask.team].minus(&ask.need);
                if ask.zone_room[bins[i].zone] != u32::MAX {
                    ask.zone_room[bins[i].zone] -= 1;
                }
                ask.count -= 1;
                places.push((at, i));
            }
            if ask.gang && ask.count > 0 {
                places.truncate(before.2);
                (bins, team, *ask) = (before.0, before.1, before.3);
            }
            if round == 0 && ask.count > 0 {
                waiting.push(at);
                light_waits |= ask.basket == Basket::Light;
            }
        }
    }
    places
}

#[test]
fn a_team_s_small_jobs_go_first_and_no_other_team_waits_for_it() {
    let mut random = StdRng::seed_from_u64(5);
    for _ in 0..200 {
        let count = random.random_range(0..20);
        let mut claims: Vec<QueuedJob> = (0..count)
            .map(|age| QueuedJob {
                urgency: if random.random() { Priority::High } else { Priority::Production },
                fresh: random.random(),
                beyond: random.random(),
                aimless: random.random(),
                had_turn: random.random(),
                missed: random.random_range(0..3),
                size: random.random_range(0..9),
                age,
                team: random.random_range(0..3),
            })
            .collect();
        let mut plain = claims.clone();
        plain.sort();
        order_of_service(&mut claims);
        let turn = |claim: &QueuedJob| (claim.urgency, claim.team);
        assert!(claims.iter().map(turn).eq(plain.iter().map(turn)));
        for (at, a) in claims.iter().enumerate() {
            for b in claims[at + 1..].iter().filter(|b| turn(b) == turn(a)) {
                let first = |c: &QueuedJob| (c.fresh, c.aimless, c.missed, c.had_turn);
                assert!(first(a) <= first(b));
                if first(a) == first(b) {
                    assert!((a.size, a.age) < (b.size, b.age));
                }
            }
        }
        claims.sort();
        assert_eq!(claims, plain);
    }
}

fn random_input(random: &mut StdRng, machines: u64, tasks: u32) -> Input {
    let size = Amount::room(16.0, 0.0, 64.0);
    let bins = (0..random.random_range(0..machines))
        .map(|index| {
            let used = Amount::need(f64::from(random.random_range(0..17u32)), 0.0, 0.0);
            let basket = match random.random_range(0..3) {
                0 => Some(Basket::Heavy),
                1 => Some(Basket::Light),
                _ => None,
            };
            Bin {
                // Handed in out of order.
                index: (index * 7919) % 10_007,
                zone: random.random_range(0..3),
                flavor: random.random_range(0..2),
                spot: random.random(),
                free: if basket.is_some() { size.minus(&used) } else { size },
                basket,
                ready: true,
                images: (0..3u32).filter(|_| random.random()).collect(),
                vacated: random.random(),
            }
        })
        .collect();
    let asks = (0..random.random_range(0..8))
        .map(|_| {
            let cpus = f64::from(random.random_range(1..15u32));
            let need = Amount::need(cpus, 0.0, cpus * 3.0);
            let spread = random.random::<bool>();
            PlacementRequest {
                team: random.random_range(0..2),
                urgency: if random.random() { Priority::Production } else { Priority::High },
                need,
                basket: basket_of(&need, &[size], 0.5),
                count: random.random_range(1..tasks),
                zone: random.random::<bool>().then(|| random.random_range(0..3)),
                flavors: random.random::<bool>().then(|| vec![random.random_range(0..2)]),
                spot: random.random(),
                zone_room: vec![if spread { 3 } else { u32::MAX }; 3],
                one_zone: false,
                image: random.random_range(0..3),
                avoid: (0..machines)
                    .filter(|_| random.random_range(0..9) == 0)
                    .map(|index| (index * 7919) % 10_007)
                    .collect(),
                gang: random.random_range(0..4) == 0,
                within_s: None,
                left_s: None,
                rents: if random.random() { ScaleOutPolicy::Any } else { ScaleOutPolicy::Spot },
            }
        })
        .collect();
    let cpu = random.random_range(0..machines * 7_500_000);
    let room = Amount { cpu, gpu: 0, ram: u64::MAX };
    Input {
        bins,
        asks,
        team_room: vec![room; 2],
        offers: vec![],
        heavy_cap: 3,
        rents_left: u32::MAX,
    }
}

#[test]
fn the_planner_places_as_the_plain_model_does() {
    for seed in 0..3000 {
        // Most as small as a mistake is easily found in, some of hundreds of machines.
        let (machines, tasks) = if seed % 100 == 0 { (600, 300) } else { (12, 9) };
        let input = random_input(&mut StdRng::seed_from_u64(seed), machines, tasks);
        let want = model(&input);
        assert_eq!(plan(input).places, want, "seed {seed}");
    }
}

fn ask(count: u32, cpus: f64) -> PlacementRequest {
    let size = Amount::room(16.0, 0.0, 64.0);
    let need = Amount::need(cpus, 0.0, 1.0);
    PlacementRequest {
        team: 0,
        urgency: Priority::High,
        need,
        basket: basket_of(&need, &[size], 0.5),
        count,
        zone: None,
        flavors: None,
        spot: true,
        zone_room: vec![u32::MAX; 2],
        one_zone: false,
        image: 0,
        avoid: vec![],
        gang: false,
        within_s: None,
        left_s: None,
        rents: ScaleOutPolicy::Any,
    }
}

fn offer(zone: usize, spot: bool, price: f64) -> MachineTypeOffer {
    MachineTypeOffer {
        flavor: 0,
        zone,
        spot,
        price,
        size: Amount::room(16.0, 0.0, 64.0),
        most: 2,
        held: 0,
    }
}

#[test]
fn what_finds_no_room_is_rented_cheapest_first_and_spread_over_zones() {
    let unlimited = Amount { cpu: u64::MAX, gpu: 0, ram: u64::MAX };
    let input = Input {
        asks: vec![ask(24, 4.0)],
        team_room: vec![unlimited],
        offers: vec![offer(0, false, 0.9), offer(0, true, 0.3), offer(1, true, 0.3)],
        heavy_cap: 1,
        rents_left: u32::MAX,
        ..Input::default()
    };
    let plan = plan(input);
    assert_eq!(plan.hires, [2, 2, 2]);
    assert_eq!(plan.booked, [(0, 24)]);
    assert!(plan.short.is_empty());
}

/// Where controllers can hold few more machines, one that holds more goes before one that is cheaper for
/// what it holds; beyond what they can hold nothing is rented.
#[test]
fn the_last_machines_that_can_be_held_are_large_ones() {
    let unlimited = Amount { cpu: u64::MAX, gpu: 0, ram: u64::MAX };
    let large =
        MachineTypeOffer { size: offer(0, false, 0.0).size.times(4), ..offer(0, false, 9.0) };
    let small = MachineTypeOffer { most: 1000, ..offer(0, true, 0.3) };
    let full = Bin {
        index: 0,
        zone: 0,
        flavor: 0,
        spot: false,
        free: Amount::default(),
        basket: Some(Basket::Light),
        ready: true,
        images: Images::default(),
        vacated: false,
    };
    let hires = |rents_left: u32| {
        let input = Input {
            bins: (0..RENTS_FEW as u64 * 3).map(|n| Bin { index: n, ..full.clone() }).collect(),
            asks: vec![ask(200, 4.0)],
            team_room: vec![unlimited],
            offers: vec![small.clone(), large.clone()],
            heavy_cap: 1,
            rents_left,
        };
        plan(input).hires
    };
    assert_eq!(hires(0), [0, 0]);
    assert_eq!(hires(2), [0, 2]);
    let plenty = hires(10_000);
    assert!(plenty[0] > 0 && plenty[1] == 0, "{plenty:?}");
}

#[test]
fn one_team_at_its_limit_neither_runs_nor_rents() {
    let input = Input {
        asks: vec![ask(9, 4.0)],
        team_room: vec![Amount { cpu: 8_000_000, gpu: 0, ram: u64::MAX }],
        offers: vec![offer(0, true, 0.3)],
        heavy_cap: 1,
        rents_left: u32::MAX,
        ..Input::default()
    };
    let plan = plan(input);
    assert_eq!((plan.hires, plan.booked, plan.short), (vec![1], vec![(0, 2)], vec![(0, 7)]));
}
