use super::*;

#[test]
fn equal_seeds_give_equal_histories_and_other_seeds_differ() {
    let history = generate(5, 10, 12, || ());
    assert_eq!(history, generate(5, 10, 12, || ()));
    assert_ne!(history, generate(6, 10, 12, || ()));
    assert!(history.is_sorted_by(|a, b| a.at_s <= b.at_s));
    assert!(history.iter().any(|job| !job.stopped.is_empty()));
}
