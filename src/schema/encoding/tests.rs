use crate::schema::encoding::{EncodedSpec, decode_spec, encode_spec, json_len};

#[test]
fn a_description_of_any_text_is_split_and_put_together_again() {
    let mut spec = crate::jobs::fixtures::job_spec("wk-1", 3);
    spec.class = "\"\\\u{1}ž😀".repeat(40);
    spec.machine_types = Some((0..32).map(|n| format!("{n}{}", "ü\"".repeat(60))).collect());
    for most in [100, 700, 1900] {
        let EncodedSpec { chunks, .. } = encode_spec(&spec, most);
        assert!(chunks.iter().all(|chunk| json_len(chunk) <= most), "{most}");
        let whole = decode_spec(chunks.iter().map(String::as_str)).unwrap();
        assert_eq!(whole, spec);
    }
}
