use super::*;

#[test]
fn existing_process_is_sampled_and_missing_one_is_not() {
    let found = sample(std::process::id()).unwrap();
    assert!(found.memory_mb > 0.0 && found.descriptors > 0);
    assert_eq!(sample(u32::MAX), None);
    assert!(descriptor_limit() > 0 && memory_mb() > 0);
}

#[test]
fn restart_does_not_reduce_processor_time() {
    let mut meter = Meter::default();
    let sample = |cpu_s: f64| Sample { cpu_s, memory_mb: 10.0, descriptors: 5 };
    meter.record(1, &sample(10.0), 0.0);
    meter.record(1, &sample(10.5), 1.0);
    meter.record(2, &sample(0.0), 2.0);
    meter.record(2, &sample(0.1), 3.0);
    let usage = meter.usage();
    assert!((usage.cpu_mean - 0.3).abs() < 1e-9 && (usage.cpu_peak - 0.5).abs() < 1e-9);
}
