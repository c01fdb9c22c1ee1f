use super::{Heartbeat, LeaseTtl, MachineType, StoreValue, decode, encode};

#[test]
fn decode_rejects_false_lengths_deep_nesting_and_trailing_bytes() {
    // A list of 2^60 items, a text of 2^60 bytes, and nesting far deeper than in any message. Rejecting them must not
    // allocate that much memory.
    for bytes in [
        vec![0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0],
        vec![0x7b, 0x10, 0, 0, 0, 0, 0, 0, 0, b'a'],
        vec![0x81; 60_000],
    ] {
        assert!(decode::<Heartbeat>(&bytes).is_err());
        assert!(decode::<StoreValue>(&bytes).is_err());
    }
    let mut with_trailing_byte = encode(&LeaseTtl { ttl_ms: 5 });
    with_trailing_byte.push(0);
    assert!(decode::<LeaseTtl>(&with_trailing_byte).is_err());
}

#[test]
fn machine_type_accepts_integer_amounts_and_ignores_unknown_fields() {
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
    let machine_type: MachineType = decode(&encode(&value)).unwrap();
    assert_eq!(machine_type.cpus, 4.0);
}
