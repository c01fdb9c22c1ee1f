use super::*;
use crate::generate::generate;

/// What an estimate says must not depend on what comes after: a history cut short gives the same
/// figures for the days that it has.
#[test]
fn nothing_looks_ahead() {
    let jobs = generate(3, 14, 10, || ());
    let until = jobs.iter().position(|job| job.at_s > BEGIN_S + 9.0 * DAY_S).unwrap();
    let (whole, part) = (replay(&jobs, || ()), replay(&jobs[..until], || ()));
    assert_eq!(whole.days[..8], part.days[..8]);
    assert!(part.without_history > 0);
    assert_eq!(part.without_history, part.without_history_unknown);
}

#[test]
fn a_course_keeps_its_width_and_repeats_what_was_stopped() {
    let mut job = generate(3, 2, 2, || ()).remove(0);
    job.run_s = vec![10.0, 10.0, 10.0];
    job.stopped = vec![(1, 4.0)];
    (job.width, job.cancelled) = (2, None);
    let course = course(&job);
    assert_eq!(course.end_s, [10.0, 14.0, 20.0]);
    let (shown, running, waiting) = course.look(&job, 11.0);
    assert_eq!((shown.completed_count(), running, waiting), (1, vec![7.0, 1.0], 0));
}
