use super::{Attempt, FencingToken};
use crate::constants::{FIRST_RAISED_TOKEN, TOKENS_PER_TERM};

/// The token of a first leader, of a leader of the previous version, and of a leader after it.
fn leaders() -> [FencingToken; 3] {
    let first = FencingToken(0).of_next_leader();
    let incremented = FencingToken(first.0 + 1);
    [first, incremented, incremented.of_next_leader()]
}

#[test]
fn next_leader_has_a_higher_token_than_all_commands_of_earlier_leaders() {
    for leader in leaders() {
        let next = leader.of_next_leader();
        assert!(next > FencingToken(leader.0 + TOKENS_PER_TERM - 1));
        assert!(!next.is_of_leader(leader) && !leader.is_of_leader(next));
        assert!(Attempt::new(next, 0) > Attempt::new(leader, 1 << 20));
        assert_eq!(Attempt::new(next, 7).token(), next);
    }
}

/// The previous version increments the last token by one, however often leaders change during an upgrade.
#[test]
fn token_of_a_leader_of_the_previous_version_is_not_taken_for_a_raised_one() {
    let [first, incremented, _] = leaders();
    assert!(!incremented.is_of_leader(first));
    assert!(!FencingToken(first.0 + FIRST_RAISED_TOKEN - 1).is_of_leader(first));
    assert_eq!(FencingToken::for_answer(first, incremented), first);
}

#[test]
fn raised_tokens_rise_by_one_until_none_is_left() {
    for leader in leaders() {
        let once = leader.raised(leader).unwrap();
        let twice = once.raised(leader).unwrap();
        assert!(once > leader && twice.0 == once.0 + 1);
        assert_eq!(FencingToken::for_answer(leader, twice), twice);
        let raises = [leader, once, twice].map(|token| token.raises_since_election(leader));
        assert_eq!(raises, [0, 1, 2]);
        let last = FencingToken(leader.0 + TOKENS_PER_TERM - 1);
        assert!(last.is_of_leader(leader) && last.raised(leader).is_none());
    }
}

#[test]
fn only_the_first_leader_of_a_cluster_has_no_predecessor() {
    assert!(!FencingToken(0).of_next_leader().has_predecessor());
    for predecessor in [FencingToken(1), FencingToken(0).of_next_leader()] {
        assert!(predecessor.of_next_leader().has_predecessor());
    }
}
