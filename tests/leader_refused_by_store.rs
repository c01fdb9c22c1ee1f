//! The state service refuses the leader alone, another controller confirms cancellations, and then the
//! service is down for all, longer than `cancel_s`, while workers go on reporting to the old leader.

use std::collections::BTreeMap;
use troutspindle::ids::JobId;
use troutspindle_simulation::{Fault, SimEvent, UserJob, World, ZONES};

const REFUSED_AT: u64 = 30_000;
/// Longer than a cancelled job has, and than any bound of the controllers.
const OUTAGE_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Confirmer {
    Any,
    /// Whoever leads by then, else a follower.
    Leader,
    Follower,
    /// One that was started a second before.
    Restarted,
    /// It ends as soon as it has told a user, and is back within a second.
    Forgets,
    /// All others end as the outage begins, and are back within a second.
    AllForget,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Links {
    All,
    Cut,
    /// Cut until the outage begins: by then it has kept its zone's workers for longer than heartbeats last.
    Back,
    /// The old leader hears the others, and they don't hear it; or the other way round.
    Mute,
    Unhearing,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Old {
    Stands,
    /// It stands still, and wakes in the outage.
    Sleeps,
    /// It ends and is back within a second, before the outage or in it.
    Blinks(u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Extra {
    Nothing,
    /// The workers of a zone hear no answers for a while; or are cut off from the old leader.
    Deaf,
    CutWorkers,
    /// Jobs lie in one zone.
    OneZone,
    /// Cancelled through a job that it waits on.
    Through,
    Twice,
    /// One runs this version, the others the one before it.
    Production,
}

#[derive(Debug, Clone, Copy)]
struct Row {
    nodes: usize,
    /// From the refusal to the outage.
    gap: u64,
    confirmer: Confirmer,
    links: Links,
    old: Old,
    extra: Extra,
}

/// What a day showed.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Seen {
    /// Jobs confirmed to be cancelled between refusal and outage whose tasks were on machines then.
    confirmed: usize,
    /// Whether the old leader answered workers with orders after the first of them.
    answered: bool,
    put_off: u32,
    /// Machines that lost their lease.
    lost: usize,
    violations: usize,
}

fn play(row: Row, seed: u64) -> (Seen, Vec<String>) {
    let mut world = World::with_controllers(seed, row.nodes, row.extra == Extra::Production);
    world.long_tasks = true;
    if row.extra == Extra::Production {
        world.at(8000, SimEvent::Fault(Fault::Upgrade(seed as usize % row.nodes)));
    }
    for n in 0..6 {
        let service = n % 2 == 0;
        world.submit_at(3000, n, service, None);
        let job = world.jobs.get_mut(&n).unwrap();
        job.spec.tasks = 4;
        if row.extra == Extra::OneZone {
            (job.spec.spread, job.spec.zone) = (false, Some(ZONES[n as usize / 2 % 2].into()));
        }
    }
    if row.extra == Extra::Through {
        // It waits for the first array, which never ends; it is cancelled through it.
        world.submit_at(9000, 6, false, None);
        world.jobs.get_mut(&6).unwrap().spec.depends_on = Some(vec![JobId::new("wk-1")]);
    }
    let mut at = REFUSED_AT;
    let rounds = if row.extra == Extra::Twice { 2 } else { 1 };
    let mut seen = Seen::default();
    for round in 0..rounds {
        world.run(at - 1000);
        let old = world.leader();
        let others: Vec<usize> = (0..row.nodes).filter(|n| *n != old).collect();
        let some = others.get(seed as usize % others.len().max(1)).copied();
        world.cancel_at = match row.confirmer {
            Confirmer::Follower | Confirmer::Restarted => some,
            _ => None,
        };
        if row.confirmer == Confirmer::Restarted {
            world.fault(Fault::CrashAndRestart(some.unwrap_or(0), 200));
        }
        world.restarts_after_cancellation = (row.confirmer == Confirmer::Forgets).then_some(300);
        world.run(at);
        world.fault(Fault::StoreRefuses(old, true));
        match row.links {
            Links::All => {}
            Links::Cut | Links::Back => world.fault(Fault::IsolateController(old, true)),
            Links::Mute => world.fault(Fault::DropOutgoingPeerMessages(old, true)),
            Links::Unhearing => world.fault(Fault::DropIncomingPeerMessages(old, true)),
        }
        match row.extra {
            Extra::Deaf => {
                world.fault(Fault::DropResponsesToWorkers(1, true));
                world.at(
                    at + row.gap + 8000,
                    SimEvent::Fault(Fault::DropResponsesToWorkers(1, false)),
                );
            }
            Extra::CutWorkers => {
                world.fault(Fault::CutWorkers(true));
                world.at(at + row.gap + 8000, SimEvent::Fault(Fault::CutWorkers(false)));
            }
            _ => {}
        }
        match row.old {
            Old::Stands => {}
            Old::Sleeps => {
                world
                    .at(at + row.gap.saturating_sub(500), SimEvent::Fault(Fault::Stall(old, true)));
                world.at(at + row.gap + 9000, SimEvent::Fault(Fault::Stall(old, false)));
            }
            Old::Blinks(after) => {
                world.at(at + after, SimEvent::Fault(Fault::CrashAndRestart(old, 300)))
            }
        }
        // Users cancel all the while, the last of them just before the outage.
        let first = round * 2;
        for (k, n) in (first..6).enumerate() {
            if world.jobs[&n].cancellation_confirmed_ms.is_some() || (n == 5 && round + 1 < rounds)
            {
                continue;
            }
            let before = [30, 60, 150, 400, 900, row.gap / 2][k % 6];
            let abort = (at + row.gap).saturating_sub(before).max(at - 20);
            world.jobs.get_mut(&n).unwrap().cancel_at = Some(abort);
            world.at(abort, SimEvent::User(n));
        }
        let out = at + row.gap;
        world.run(out);
        if row.confirmer == Confirmer::Leader {
            world.cancel_at = others.iter().copied().find(|node| world.leads(*node)).or(some);
        }
        world.fault(Fault::Outage(true));
        if row.links == Links::Back {
            world.fault(Fault::IsolateController(old, false));
        }
        if row.confirmer == Confirmer::AllForget {
            for node in &others {
                world.fault(Fault::CrashAndRestart(*node, 200));
            }
        }
        let end = out + OUTAGE_MS;
        world.run(end);
        let told = |job: &&UserJob| {
            job.cancellation_confirmed_ms.is_some_and(|t| t >= at && job.ran_when_told > 0)
        };
        let told: Vec<&UserJob> = world.jobs.values().filter(told).collect();
        seen.confirmed += told.len();
        let since = told.iter().filter_map(|job| job.cancellation_confirmed_ms).min();
        seen.answered |= since.is_some_and(|since| world.answered[old] > since);
        world.fault(Fault::Outage(false));
        world.fault(Fault::StoreRefuses(old, false));
        world.fault(Fault::IsolateController(old, false));
        world.fault(Fault::DropOutgoingPeerMessages(old, false));
        world.fault(Fault::DropIncomingPeerMessages(old, false));
        world.restarts_after_cancellation = None;
        world.cancel_at = None;
        at = end + 40_000;
    }
    world.run(at + 40_000);
    for (n, job) in &world.jobs {
        if job.cancel_at.is_some() && job.cancellation_confirmed_ms.is_none() {
            world.violations.push(format!("{n} was never cancelled"));
        }
        if world.now_ms > job.last_good + 75_000 {
            world.violations.push(format!("forgotten: nobody is told of {n}"));
        }
        if job.cancellation_confirmed_ms.is_none()
            && job.spec.depends_on.is_none()
            && world.on_machines(*n) != 4
        {
            world.violations.push(format!("{n} does not run"));
        }
    }
    seen.put_off = world.jobs.values().map(|job| job.put_off).sum();
    seen.lost = world.workers.values().filter(|w| w.agent_epoch > 1).count();
    seen.violations = world.violations.len();
    (seen, world.violations)
}

fn rows() -> Vec<Row> {
    let plain = Row {
        nodes: 3,
        gap: 1000,
        confirmer: Confirmer::Any,
        links: Links::All,
        old: Old::Stands,
        extra: Extra::Nothing,
    };
    let mut rows = Vec::new();
    for gap in [100, 1000, 2500, 3000, 3300, 7000, 20_000, 30_000] {
        use Confirmer::*;
        for confirmer in [Any, Leader, Follower, Restarted, Forgets, AllForget] {
            rows.push(Row { gap, confirmer, ..plain });
        }
        for links in [Links::Cut, Links::Mute, Links::Unhearing] {
            rows.push(Row { gap, links, ..plain });
            rows.push(Row { gap, links, confirmer: Confirmer::AllForget, ..plain });
        }
        for old in [Old::Sleeps, Old::Blinks(gap / 2), Old::Blinks(gap + 5000)] {
            rows.push(Row { gap, old, ..plain });
            rows.push(Row { gap, old, confirmer: Confirmer::AllForget, ..plain });
        }
        use Extra::*;
        for extra in [Deaf, CutWorkers, OneZone, Through, Twice, Production] {
            rows.push(Row { gap, extra, ..plain });
            rows.push(Row { gap, extra, confirmer: Confirmer::AllForget, ..plain });
        }
        for nodes in [1, 5] {
            rows.push(Row { gap, nodes, ..plain });
            rows.push(Row { gap, nodes, confirmer: Confirmer::AllForget, ..plain });
        }
    }
    // Jobs are cancelled without the old leader's promise only once its heartbeat was gone for long.
    for gap in [34_000, 38_000, 42_000] {
        for confirmer in [Confirmer::Any, Confirmer::AllForget] {
            rows.push(Row { gap, confirmer, links: Links::Back, ..plain });
        }
    }
    rows
}

/// No rule is broken, and the meeting came about: in each kind of row where the old leader can be heard and
/// goes on, cancellations were confirmed while their tasks ran, and it answered workers afterwards.
fn holds(gaps: &[u64], seeds: std::ops::Range<u64>, happens: bool) {
    let mut kinds: BTreeMap<String, (usize, bool)> = BTreeMap::new();
    for row in rows().into_iter().filter(|row| gaps.contains(&row.gap)) {
        for seed in seeds.clone() {
            let (seen, violations) = play(row, seed);
            assert!(violations.is_empty(), "{row:?}, seed {seed}: {violations:#?}");
            if row.links == Links::All && row.old == Old::Stands && row.nodes > 1 {
                let kind = format!("{:?} {:?}", row.confirmer, row.extra);
                let (confirmed, answered) = kinds.entry(kind).or_default();
                *confirmed += seen.confirmed;
                *answered |= seen.confirmed > 0 && seen.answered;
            }
        }
    }
    for (kind, (confirmed, answered)) in kinds.iter().filter(|_| happens) {
        assert!(*confirmed > 0 && *answered, "did not happen: {kind}: {confirmed} {answered}");
    }
}

#[test]
fn an_outage_soon_after_the_refusal() {
    holds(&[1000, 2500], 1..3, true);
}

#[test]
fn an_outage_while_another_is_elected() {
    holds(&[3000, 7000], 1..2, false);
}

#[test]
fn an_outage_long_after_another_was_elected() {
    holds(&[20_000], 1..2, false);
    holds(&[34_000, 38_000, 42_000], 1..4, false);
}

/// The later leader goes on by the pledges of all, the old one's among them: once nobody acted, and every lease
/// ran out.
#[test]
fn a_leader_elected_before_the_outage_keeps_all_leases_in_it() {
    let kept = |row: &Row| {
        let usual = row.nodes > 1 && row.links == Links::All && row.old == Old::Stands;
        let quiet = row.confirmer == Confirmer::Any && row.extra == Extra::Nothing;
        usual && quiet && row.gap >= 7000
    };
    let rows: Vec<Row> = rows().into_iter().filter(kept).collect();
    assert_eq!(rows.len(), 6);
    for row in rows {
        let (seen, _) = play(row, 7);
        assert_eq!(seen.lost, 0, "{row:?}");
    }
}

#[test]
#[ignore = "a table for a person, minutes; SEEDS: how many of each row"]
fn table() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(4);
    let (mut violations, mut days) = (0, 0);
    for row in rows() {
        let mut all = Seen::default();
        let mut first = None;
        for seed in 0..seeds {
            let (seen, what) = play(row, 5000 + seed);
            all.confirmed += seen.confirmed;
            all.answered |= seen.answered;
            all.put_off += seen.put_off;
            all.lost += seen.lost;
            all.violations += usize::from(seen.violations > 0);
            first = first.or(what.first().cloned());
        }
        days += seeds;
        violations += all.violations;
        println!("{row:?}\n    {all:?} {}", first.unwrap_or_default());
    }
    println!("{days} days, {violations} broken");
}
