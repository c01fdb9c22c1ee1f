use super::*;
use crate::generate::generate;

/// Guards against estimates that use later runs: a truncated history must give the same figures for its days.
#[test]
fn estimates_do_not_depend_on_later_jobs() {
    let jobs = generate(3, 14, 10, || ());
    let until = jobs.iter().position(|job| job.at_s > HISTORY_START_S + 9.0 * DAY_S).unwrap();
    let (whole, part) = (replay(&jobs, || ()), replay(&jobs[..until], || ()));
    assert_eq!(whole.days[..8], part.days[..8]);
    assert!(part.without_history > 0);
    assert_eq!(part.without_history, part.without_history_unknown);
}

#[test]
fn timeline_respects_width_and_reruns_stopped_tasks() {
    let mut job = generate(3, 2, 2, || ()).remove(0);
    job.run_s = vec![10.0, 10.0, 10.0];
    job.stopped = vec![(1, 4.0)];
    (job.width, job.cancelled) = (2, None);
    let timeline = timeline(&job);
    assert_eq!(timeline.end_s, [10.0, 14.0, 20.0]);
    let (observed, running, waiting) = timeline.state_at(&job, 11.0);
    assert_eq!((observed.completed_count(), running, waiting), (1, vec![7.0, 1.0], 0));
}
