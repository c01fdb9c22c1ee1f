use crate::schema::encoding::{EncodedSpec, decode_spec, encode_spec, json_len};

#[test]
fn description_with_any_characters_is_unchanged_after_splitting_and_decoding() {
    let mut spec = crate::jobs::fixtures::job_spec("wk-1", 3);
    spec.class = "\"\\\u{1}ž😀".repeat(40);
    spec.machine_types = Some((0..32).map(|n| format!("{n}{}", "ü\"".repeat(60))).collect());
    for max_len in [100, 700, 1900] {
        let EncodedSpec { chunks, .. } = encode_spec(&spec, max_len);
        assert!(chunks.iter().all(|chunk| json_len(chunk) <= max_len), "{max_len}");
        let decoded = decode_spec(chunks.iter().map(String::as_str)).unwrap();
        assert_eq!(decoded, spec);
    }
}
