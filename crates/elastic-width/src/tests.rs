use super::{ElasticJob, StableCapacity, WidthPlanner, share};
use crate::constants::STABLE_AFTER;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

proptest! {
    /// Reference model: adds one task at a time to the narrowest job that can grow and whose task fits.
    #[test]
    fn shares_equal_those_of_adding_one_task_at_a_time_to_the_narrowest_job(
        widths in prop::collection::vec((0u64..30, 0u64..40, 0u64..30), 0..8),
        task_request in 1u64..5, capacity in 0u64..200
    ) {
        let elastic_jobs: Vec<ElasticJob> = widths
            .iter()
            .map(|(width, max_width, waiting)| {
                ElasticJob { task_request, width: *width, max_width: *max_width, waiting: *waiting }
            })
            .collect();
        let mut reference = vec![0u64; elastic_jobs.len()];
        let mut remaining = capacity;
        loop {
            let can_grow = |n: &usize| reference[*n] < elastic_jobs[*n].max_growth() && task_request <= remaining;
            let narrowest = (0..elastic_jobs.len()).filter(can_grow).min_by_key(|n| elastic_jobs[*n].width + reference[*n]);
            let Some(n) = narrowest else { break };
            reference[n] += 1;
            remaining -= task_request;
        }
        prop_assert_eq!(share(&elastic_jobs, capacity), reference);
    }

    /// For jobs of any size: no job exceeds its maximum, all together fit the capacity, and no job grows beyond a
    /// narrower one that could still grow and whose task would fit into the capacity that the wider job got.
    #[test]
    fn growth_never_exceeds_capacity_or_maxima_and_favors_narrow_jobs(
        elastic_jobs in prop::collection::vec((1u64..50, 0u64..1000, 0u64..1000, any::<u64>()), 0..12),
        capacity in any::<u64>()
    ) {
        let elastic_jobs: Vec<ElasticJob> = elastic_jobs
            .iter()
            .map(|(task_request, width, max_width, waiting)| ElasticJob {
                task_request: *task_request,
                width: *width,
                max_width: *max_width,
                waiting: *waiting,
            })
            .collect();
        let growth = share(&elastic_jobs, capacity);
        let request = |(n, job): (&u64, &ElasticJob)| u128::from(*n) * u128::from(job.task_request);
        let allocated: u128 = growth.iter().zip(&elastic_jobs).map(request).sum();
        prop_assert!(allocated <= u128::from(capacity));
        for (n, elastic_job) in growth.iter().zip(&elastic_jobs) {
            prop_assert!(*n <= elastic_job.max_growth());
            for (m, other) in growth.iter().zip(&elastic_jobs) {
                let is_wider = *n > 1 && elastic_job.width + n > other.width + m + 2;
                prop_assert!(
                    !is_wider || *m == other.max_growth() || other.task_request > elastic_job.task_request,
                    "{elastic_jobs:?} {growth:?}"
                );
            }
        }
    }

    #[test]
    fn stable_capacity_is_the_minimum_of_the_recent_samples(samples in prop::collection::vec((0u64..2000, 0u64..100), 1..60)) {
        let mut stable_capacity = StableCapacity::default();
        let mut observed: Vec<(Duration, u64)> = Vec::new();
        let mut now = Duration::ZERO;
        for (ms, free) in samples {
            now += Duration::from_millis(ms);
            stable_capacity.observe(free, now);
            observed.push((now, free));
            // The last sample before the period counts too: it applies at the start of the period.
            let first = observed.iter().rposition(|(at, _)| *at + STABLE_AFTER <= now);
            let expected = first.map_or(0, |first| observed[first..].iter().map(|(_, free)| *free).min().unwrap());
            prop_assert_eq!(stable_capacity.available(now), expected);
        }
    }
}

/// Two elastic jobs that both can use all free capacity must not take it from each other in turns. Other work preempts
/// them now and then; only that may make a job change between growing and shrinking.
#[test]
fn two_elastic_jobs_do_not_oscillate_when_other_work_preempts_them() {
    let mut planner: WidthPlanner<u8> = WidthPlanner::default();
    let mut width = [4u64, 4];
    let mut direction = [0i8; 2];
    let mut reversals = [0; 2];
    let mut preemptions = 0;
    let supply = 64u64;
    for step in 0..2500u64 {
        let now = seconds(step as f64 * 0.2);
        // The other work runs for 30 seconds at first, then six times for 6 seconds with pauses of 7 seconds.
        let is_burst = (400..790).contains(&step) && (step - 400) % 65 < 30;
        let other_work = if (150..300).contains(&step) || is_burst { 30 } else { 0 };
        // The other work preempts at once, tasks of the widest job first.
        while width.iter().sum::<u64>() + other_work > supply {
            let widest = usize::from(width[1] > width[0]);
            width[widest] -= 1;
            planner.record_preemption(&(widest as u8), now);
            reversals[widest] += u32::from(direction[widest] > 0);
            direction[widest] = -1;
            preemptions += 1;
        }
        let free = supply - other_work - width.iter().sum::<u64>();
        let elastic_job =
            |n: usize| ElasticJob { task_request: 1, width: width[n], max_width: 60, waiting: 100 };
        let growth = planner.grow(&[(0, elastic_job(0)), (1, elastic_job(1))], free, now);
        for (id, added) in growth {
            let n = usize::from(id);
            width[n] += added;
            reversals[n] += u32::from(direction[n] < 0);
            direction[n] = 1;
        }
    }
    assert!(preemptions > 0);
    // Without a backoff, each of the seven runs of the other work would reverse both jobs twice.
    assert!(reversals.iter().all(|reversals| *reversals <= 8), "{reversals:?}");
    assert!(width[0].abs_diff(width[1]) <= 1 && width.iter().sum::<u64>() >= 60, "{width:?}");
}

#[test]
fn jobs_grow_only_into_capacity_that_stays_free() {
    let mut planner: WidthPlanner<u8> = WidthPlanner::default();
    let elastic_job = ElasticJob { task_request: 1, width: 1, max_width: 50, waiting: 50 };
    for step in 0..100u64 {
        let free = if step % 20 == 0 { 0 } else { 30 };
        assert!(
            planner.grow(&[(0, elastic_job)], free, seconds(step as f64 * 0.2)).is_empty(),
            "{step}"
        );
    }
    // Each round takes half of the capacity that stayed free.
    let mut growth = BTreeMap::new();
    for step in 100..150u64 {
        growth = planner.grow(&[(0, elastic_job)], 30, seconds(step as f64 * 0.2));
    }
    assert_eq!(growth.get(&0), Some(&15));
}
