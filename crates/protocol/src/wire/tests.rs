use super::{Heartbeat, LeaseTtl, MachineType, StoreValue, decode, encode};

#[test]
fn lying_lengths_and_nesting_are_refused_cheaply() {
    // A list of 2^60 items, a text of 2^60 bytes, and nesting far beyond any message of ours.
    for bytes in [
        vec![0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0],
        vec![0x7b, 0x10, 0, 0, 0, 0, 0, 0, 0, b'a'],
        vec![0x81; 60_000],
    ] {
        assert!(decode::<Heartbeat>(&bytes).is_err());
        assert!(decode::<StoreValue>(&bytes).is_err());
    }
    let mut twice = encode(&LeaseTtl { ttl_ms: 5 });
    twice.push(0);
    assert!(decode::<LeaseTtl>(&twice).is_err());
}

#[test]
fn an_integer_is_taken_for_an_amount_and_unknown_fields_are_ignored() {
    let value = StoreValue::Map(
        [("name", "g8"), ("later", "x")]
            .map(|(k, v)| (StoreValue::from(k), StoreValue::from(v)))
            .into_iter()
            .chain(
                ["vcpus", "cards", "ramGb", "price", "marketPrice", "startupS"]
                    .map(|k| (StoreValue::from(k), StoreValue::from(4))),
            )
            .chain([(StoreValue::from("halls"), StoreValue::Array(vec![]))])
            .collect(),
    );
    let flavor: MachineType = decode(&encode(&value)).unwrap();
    assert_eq!(flavor.cpus, 4.0);
}
