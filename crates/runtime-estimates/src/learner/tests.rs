use super::*;

fn profile<'a>(job: &'a str, class: &'a str, image: &'a str) -> Profile<'a> {
    let size = [4, 0, 14];
    Profile { job, class, team: "bank", image, size, expect_s: 60.0, tasks: 20 }
}

fn learn_run(learner: &mut Learner, profile: &Profile, run_s: f64, hour: u32) {
    let mut observations = RunObservations::default();
    for n in 0..20 {
        observations.record_completed(run_s * (1.0 + 0.1 * f64::from(n % 5 - 2)));
    }
    learner.learn(profile, &observations, hour);
}

#[test]
fn grade_follows_the_similarity_and_number_of_earlier_runs() {
    let mut learner = Learner::default();
    let no_observations = RunObservations::default();
    let known = profile("wk-0", "rebuild", "img-1");
    assert_eq!(learner.estimate(&known, &no_observations, 0).unwrap().grade, Grade::Unknown);
    for day in 0..12u32 {
        let name = format!("wk-{day}");
        let job = profile(&name, "rebuild", "img-1");
        learn_run(&mut learner, &job, 120.0 + f64::from(day * 7 % 5), day * 24);
    }
    let steady = learner.estimate(&known, &no_observations, 300).unwrap();
    assert_eq!((steady.grade, steady.level), (Grade::Sure, Level::Exact));
    assert!((steady.p50_s - 122.0).abs() < 5.0, "{steady:?}");
    // The same class with another image: the estimate is not sure.
    let reused =
        learner.estimate(&profile("wk-x", "rebuild", "img-9"), &no_observations, 300).unwrap();
    assert_eq!((reused.grade, reused.level), (Grade::Thin, Level::Team));
    // A class without history is graded unknown, but the bias of the team's estimates is known.
    let other =
        learner.estimate(&profile("wk-y", "report", "img-1"), &no_observations, 300).unwrap();
    assert_eq!((other.grade, other.level), (Grade::Unknown, Level::Owner));
    assert!((other.p50_s - 122.0).abs() < 8.0, "{other:?}");
    let without_owner_estimate = Profile { expect_s: 0.0, ..profile("wk-z", "report", "img-1") };
    assert_eq!(learner.estimate(&without_owner_estimate, &no_observations, 300), None);
}

#[test]
fn doubled_run_is_detected_by_its_first_tasks_and_hardly_affects_the_next() {
    let mut learner = Learner::default();
    for day in 0..12u32 {
        let name = format!("wk-{day}");
        learn_run(
            &mut learner,
            &profile(&name, "rebuild", "i"),
            100.0 + f64::from(day % 3),
            day * 24,
        );
    }
    let doubled = profile("wk-20", "rebuild", "i");
    let mut observations = RunObservations::default();
    [190.0, 205.0, 198.0].into_iter().for_each(|run_s| observations.record_completed(run_s));
    let during_run = learner.estimate(&doubled, &observations, 288).unwrap();
    assert!((during_run.p50_s / 200.0 - 1.0).abs() < 0.12, "{during_run:?}");
    learn_run(&mut learner, &doubled, 200.0, 288);
    let next =
        learner.estimate(&profile("wk-21", "rebuild", "i"), &RunObservations::default(), 312);
    assert!((next.unwrap().p50_s - 102.0).abs() < 6.0, "{next:?}");
}
