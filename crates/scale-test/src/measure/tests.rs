use super::*;

#[test]
fn a_process_can_be_looked_at_and_one_that_is_gone_cannot() {
    let found = sample(std::process::id()).unwrap();
    assert!(found.memory_mb > 0.0 && found.descriptors > 0);
    assert_eq!(sample(u32::MAX), None);
    assert!(descriptor_limit() > 0 && memory_mb() > 0);
}

#[test]
fn a_restart_is_not_taken_for_less_processor_time() {
    let mut meter = Meter::default();
    let look = |cpu_s: f64| Sample { cpu_s, memory_mb: 10.0, descriptors: 5 };
    meter.look(1, &look(10.0), 0.0);
    meter.look(1, &look(10.5), 1.0);
    meter.look(2, &look(0.0), 2.0);
    meter.look(2, &look(0.1), 3.0);
    let usage = meter.usage();
    assert!((usage.cpu_mean - 0.3).abs() < 1e-9 && (usage.cpu_peak - 0.5).abs() < 1e-9);
}
