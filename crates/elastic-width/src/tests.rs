use super::*;
use proptest::prelude::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

proptest! {
    /// Against the plain way: one task at a time to the narrowest that wants one and fits.
    #[test]
    fn room_is_shared_as_one_task_at_a_time_would(
        widths in prop::collection::vec((0u64..30, 0u64..40, 0u64..30), 0..8),
        need in 1u64..5, room in 0u64..200
    ) {
        let growers: Vec<Grower> = widths
            .iter()
            .map(|(width, most, waiting)| Grower { need, width: *width, most: *most, waiting: *waiting })
            .collect();
        let mut plain = vec![0u64; growers.len()];
        let mut left = room;
        loop {
            let open = |n: &usize| plain[*n] < growers[*n].wants() && need <= left;
            let narrowest = (0..growers.len()).filter(open).min_by_key(|n| growers[*n].width + plain[*n]);
            let Some(n) = narrowest else { break };
            plain[n] += 1;
            left -= need;
        }
        prop_assert_eq!(share(&growers, room), plain);
    }

    /// Of whatever sizes, nobody gets more than it wants and all together no more than there is; and
    /// nobody is widened beyond one who is narrower, wants more and would fit into what it got.
    #[test]
    fn nobody_takes_what_there_is_not(
        growers in prop::collection::vec((1u64..50, 0u64..1000, 0u64..1000, any::<u64>()), 0..12),
        room in any::<u64>()
    ) {
        let growers: Vec<Grower> = growers
            .iter()
            .map(|(need, width, most, waiting)| Grower { need: *need, width: *width, most: *most, waiting: *waiting })
            .collect();
        let grown = share(&growers, room);
        let taken: u128 = grown.iter().zip(&growers).map(|(n, g)| u128::from(*n) * u128::from(g.need)).sum();
        prop_assert!(taken <= u128::from(room));
        for (n, grower) in grown.iter().zip(&growers) {
            prop_assert!(*n <= grower.wants());
            for (m, other) in grown.iter().zip(&growers) {
                let wider = *n > 1 && grower.width + n > other.width + m + 2;
                prop_assert!(!wider || *m == other.wants() || other.need > grower.need, "{growers:?} {grown:?}");
            }
        }
    }

    /// Room that stayed free is the least that was seen within the while.
    #[test]
    fn what_stays_free_is_the_least_lately(looks in prop::collection::vec((0u64..2000, 0u64..100), 1..60)) {
        let mut settled = Settled::default();
        let mut seen: Vec<(Duration, u64)> = Vec::new();
        let mut now = Duration::ZERO;
        for (ms, free) in looks {
            now += Duration::from_millis(ms);
            settled.see(free, now);
            seen.push((now, free));
            // Also that of the last look before the while began.
            let first = seen.iter().rposition(|(at, _)| *at + STAYS_FREE <= now);
            let plain = first.map_or(0, |first| seen[first..].iter().map(|(_, free)| *free).min().unwrap());
            prop_assert_eq!(settled.room(now), plain);
        }
    }
}

/// Two jobs that both want all of the room that comes free, and a guest that takes some of it back now
/// and then: each changes its direction only where the guest makes it.
#[test]
fn two_growers_never_swap_room_back_and_forth() {
    let mut widths: Widths<u8> = Widths::default();
    let mut width = [4u64, 4];
    let mut direction = [0i8; 2];
    let mut turns = [0; 2];
    let mut shrinks = 0;
    let all = 64u64;
    for step in 0..2500u64 {
        let now = s(step as f64 * 0.2);
        // Thirty seconds at first, then six times for six seconds with seven between.
        let pulse = (400..790).contains(&step) && (step - 400) % 65 < 30;
        let guest = if (150..300).contains(&step) || pulse { 30 } else { 0 };
        // The guest takes its room at once, from the widest first.
        while width.iter().sum::<u64>() + guest > all {
            let widest = usize::from(width[1] > width[0]);
            width[widest] -= 1;
            widths.record_preemption(&(widest as u8), now);
            turns[widest] += u32::from(direction[widest] > 0);
            direction[widest] = -1;
            shrinks += 1;
        }
        let free = all - guest - width.iter().sum::<u64>();
        let grower = |n: usize| Grower { need: 1, width: width[n], most: 60, waiting: 100 };
        let grown = widths.grow(&[(0, grower(0)), (1, grower(1))], free, now);
        for (id, more) in grown {
            let n = usize::from(id);
            width[n] += more;
            turns[n] += u32::from(direction[n] < 0);
            direction[n] = 1;
        }
    }
    assert!(shrinks > 0);
    // Without any rest each of the guest's seven visits turns both jobs twice.
    assert!(turns.iter().all(|turns| *turns <= 8), "{turns:?}");
    assert!(width[0].abs_diff(width[1]) <= 1 && width.iter().sum::<u64>() >= 60, "{width:?}");
}

#[test]
fn room_that_comes_and_goes_is_left_alone() {
    let mut widths: Widths<u8> = Widths::default();
    let grower = Grower { need: 1, width: 1, most: 50, waiting: 50 };
    for step in 0..100u64 {
        let free = if step % 20 == 0 { 0 } else { 30 };
        assert!(widths.grow(&[(0, grower)], free, s(step as f64 * 0.2)).is_empty(), "{step}");
    }
    // What stayed is taken by half, then by half of the rest.
    let mut grown = BTreeMap::new();
    for step in 100..150u64 {
        grown = widths.grow(&[(0, grower)], 30, s(step as f64 * 0.2));
    }
    assert_eq!(grown.get(&0), Some(&15));
}
