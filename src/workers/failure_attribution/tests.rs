use super::*;

fn machine(n: usize) -> MachineId {
    MachineId::new(&format!("i-{n}"))
}

#[test]
fn a_job_that_fails_everywhere_is_tried_ever_more_seldom_and_resumes_at_once() {
    let mut evidence = FailureAttribution::default();
    let mut now = Instant::now();
    for n in 0..MISTAKEN_MACHINES - 1 {
        evidence.failed(&machine(n), now);
        evidence.failed(&machine(n), now);
        assert_eq!(evidence.allows(5, now), Ok(usize::MAX));
    }
    // What was under way when the verdict came changes no pause.
    for n in 0..9 {
        evidence.failed(&machine(n), now);
    }
    assert!(evidence.mistaken());
    let mut trials = 0;
    let end = now + RETRY_MOST * 10;
    while now < end {
        match evidence.allows(0, now) {
            Ok(most) => {
                assert_eq!(most, 1);
                assert_eq!(evidence.allows(1, now), Err(None));
                trials += 1;
                evidence.failed(&machine(trials % 3), now);
            }
            Err(at) => now = at.unwrap(),
        }
    }
    assert!((10..=16).contains(&trials), "{trials}");
    assert!(evidence.did_well());
    assert_eq!(evidence.allows(1, now), Ok(usize::MAX));
    // Whatever fails from now on is its machine's fault.
    for n in 0..9 {
        evidence.failed(&machine(n), now);
    }
    assert!(evidence.sound() && !evidence.mistaken());
}
