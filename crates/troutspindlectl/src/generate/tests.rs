use super::*;

#[test]
fn the_same_seed_gives_the_same_history_and_another_another() {
    let one = generate(5, 10, 12, || ());
    assert_eq!(one, generate(5, 10, 12, || ()));
    assert_ne!(one, generate(6, 10, 12, || ()));
    assert!(one.is_sorted_by(|a, b| a.at_s <= b.at_s));
    assert!(one.iter().any(|job| !job.stopped.is_empty()));
}
