use super::*;
use proptest::prelude::*;

fn bucket(histories: u64, runs: u32) -> Bucket {
    let mut bucket = Bucket::default();
    for key in 0..histories {
        for n in 0..runs {
            let hour = 490_000 + n * 24 + key as u32;
            let run = Run::new(hour, (n * 977) as u16, 50, 3.7, 0.4, Some(4.1));
            bucket.add(key.wrapping_mul(0x9e37_79b9_7f4a_7c15), run);
        }
    }
    bucket.errors[0].add(0.3);
    bucket
}

#[test]
fn values_round_trip_and_a_full_history_takes_less_than_600_bytes() {
    let mut full = bucket(20, 60);
    let text = full.encode(usize::MAX);
    assert_eq!(Bucket::decode(&text).unwrap(), full);
    assert!(text.len() / 20 < 600, "{}", text.len() / 20);
    // A smaller limit removes the least recently used histories.
    let text = full.encode(1800);
    assert!(text.len() <= 1800);
    let trimmed = Bucket::decode(&text).unwrap();
    assert!(trimmed.len() >= 3, "{}", trimmed.len());
    assert!(trimmed.histories.values().all(|history| history.newest() > 490_000 + 59 * 24 + 10));
}

#[test]
fn histories_per_bucket_are_bounded_for_any_number_of_classes() {
    let many = bucket(100_000 / u64::from(BUCKETS), 1);
    assert_eq!(many.len(), MAX_HISTORIES_PER_BUCKET);
}

proptest! {
    #[test]
    fn decoding_never_panics_and_rejects_corruption(bytes in prop::collection::vec(any::<u8>(), 0..400), at in any::<usize>(), flip in 1u8.., cut in 0usize..400) {
        let _ = Bucket::decode(&BASE64.encode(&bytes));
        // Arbitrary bytes with a valid checksum.
        let mut body = vec![FORMAT];
        body.extend(&bytes);
        let sum = checksum(&body);
        body.extend(sum);
        if let Ok(bucket) = Bucket::decode(&BASE64.encode(&body)) {
            for history in bucket.histories.values() {
                prop_assert!(history.is_valid());
                history.predict(1, Some(3.0));
            }
        }
        let text = bucket(3, 5).encode(usize::MAX);
        let mut bytes = BASE64.decode(&text).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= flip;
        prop_assert!(Bucket::decode(&BASE64.encode(&bytes)).is_err());
        prop_assert!(Bucket::decode(&text[..cut.min(text.len() - 1)]).is_err());
    }
}

#[test]
fn later_layout_and_corruption_give_different_errors() {
    let mut bytes = BASE64.decode(bucket(1, 1).encode(usize::MAX)).unwrap();
    bytes.truncate(bytes.len() - 4);
    bytes[0] = FORMAT + 1;
    let sum = checksum(&bytes);
    bytes.extend(sum);
    assert_eq!(Bucket::decode(&BASE64.encode(bytes)), Err(DecodeError::LaterLayout(FORMAT + 1)));
    assert_eq!(Bucket::decode("%%%"), Err(DecodeError::Corrupted));
    assert_eq!(Bucket::decode(""), Err(DecodeError::Corrupted));
}
