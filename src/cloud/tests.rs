use super::*;

const KIND: MachinePool = MachinePool { flavor: 0, zone: 0, spot: true };

fn refusal(error: &str) -> Result<Response, CallError> {
    let body = wire::encode(&wire::CloudError { error: error.into() });
    Ok(Response::with(503, body))
}

fn hire_sent(core: &mut CloudClient, now: Instant) -> (u64, String) {
    core.poll(true, now);
    let found = core.out.drain(..).find_map(|(id, call)| match call {
        CloudRequest::RentalRequest(_, hire) => Some((id, hire.request)),
        _ => None,
    });
    found.expect("a hire was sent")
}

#[test]
fn a_hire_without_an_answer_keeps_its_name_and_a_new_one_gets_another() {
    let now = Instant::now();
    let mut core = CloudClient::new(100.0, now);
    core.lead(FencingToken(3), now);
    core.hire(KIND, "f", "z", 2, now);
    let (id, name) = hire_sent(&mut core, now);
    assert!(core.on_response(id, Err(CallError::Unknown), now).is_empty());
    assert_eq!(core.pending(), [(KIND, 2)]);
    let later = now + RETRY_PAUSE * 3;
    let (id, again) = hire_sent(&mut core, later);
    assert_eq!(name, again);
    let refused = core.on_response(id, refusal(NO_CAPACITY), later);
    assert!(matches!(refused[..], [CloudEvent::Refused(KIND)]));
    core.lead(FencingToken(4), later);
    core.hire(KIND, "f", "z", 1, later);
    assert_ne!(hire_sent(&mut core, later).1, name);
}

#[test]
fn what_waits_for_a_call_goes_as_one_request_and_an_outage_is_no_refusal() {
    let now = Instant::now();
    let mut core = CloudClient::new(100.0, now);
    core.lead(FencingToken(3), now);
    core.hire(KIND, "f", "z", 2, now);
    core.hire(KIND, "f", "z", HIRE_MAX, now);
    assert_eq!(core.pending(), [(KIND, HIRE_MAX), (KIND, 2)]);
    let (id, _) = hire_sent(&mut core, now);
    // What was sent keeps its content.
    core.hire(KIND, "f", "z", 1, now);
    assert_eq!(core.pending().len(), 3);
    assert!(core.on_response(id, refusal("trouble"), now).is_empty());
    assert_eq!(core.pending(), [(KIND, 2), (KIND, 1)]);
}

#[test]
fn a_deletion_is_repeated_until_it_is_answered() {
    let now = Instant::now();
    let mut core = CloudClient::new(100.0, now);
    core.delete(&MachineId::new("i-1"), now);
    core.poll(true, now);
    let id = core.out.iter().find(|(_, c)| matches!(c, CloudRequest::Delete(_))).unwrap().0;
    assert!(core.on_response(id, Err(CallError::NotSent), now).is_empty());
    core.out.clear();
    core.poll(true, now + RETRY_PAUSE * 3);
    let (id, _) =
        core.out.iter().find(|(_, c)| matches!(c, CloudRequest::Delete(_))).cloned().unwrap();
    let events = core.on_response(id, Ok(Response::empty(200)), now);
    assert!(matches!(&events[..], [CloudEvent::Deleted(m)] if m.len() == 1));
}
