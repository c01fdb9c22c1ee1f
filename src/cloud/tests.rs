use super::{CloudClient, CloudEvent, CloudRequest, MachinePool, NO_CAPACITY};
use crate::constants::{HIRE_MAX, RETRY_PAUSE};
use crate::http::{CallError, Response};
use crate::ids::{FencingToken, MachineId};
use crate::wire;
use tokio::time::Instant;

const POOL: MachinePool = MachinePool { flavor: 0, zone: 0, spot: true };

fn refusal(error: &str) -> Result<Response, CallError> {
    let body = wire::encode(&wire::CloudError { error: error.into() });
    Ok(Response::with(503, body))
}

fn pending(client: &CloudClient) -> Vec<(MachinePool, u32)> {
    client.pending_rentals().iter().map(|rental| (rental.pool, rental.count)).collect()
}

fn rental_sent(client: &mut CloudClient, now: Instant) -> (u64, String) {
    client.poll(true, now);
    let found = client.out.drain(..).find_map(|(id, call)| match call {
        CloudRequest::ScaleOut(_, hire) => Some((id, hire.request_id)),
        _ => None,
    });
    found.expect("a rental was sent")
}

#[test]
fn a_rental_without_a_response_keeps_its_name_and_a_new_one_gets_another() {
    let now = Instant::now();
    let mut client = CloudClient::new(100.0, now);
    client.begin_leadership(FencingToken(3), now);
    client.scale_out(POOL, "f", "z", 2, now);
    let (id, name) = rental_sent(&mut client, now);
    assert!(client.on_response(id, Err(CallError::Unknown), now).is_empty());
    assert_eq!(pending(&client), [(POOL, 2)]);
    let later = now + RETRY_PAUSE * 3;
    let (id, again) = rental_sent(&mut client, later);
    assert_eq!(name, again);
    let refused = client.on_response(id, refusal(NO_CAPACITY), later);
    assert!(matches!(refused[..], [CloudEvent::CapacityExhausted(POOL)]));
    client.begin_leadership(FencingToken(4), later);
    client.scale_out(POOL, "f", "z", 1, later);
    assert_ne!(rental_sent(&mut client, later).1, name);
}

#[test]
fn unsent_rentals_of_a_pool_are_merged_and_an_outage_is_no_refusal() {
    let now = Instant::now();
    let mut client = CloudClient::new(100.0, now);
    client.begin_leadership(FencingToken(3), now);
    client.scale_out(POOL, "f", "z", 2, now);
    client.scale_out(POOL, "f", "z", HIRE_MAX, now);
    assert_eq!(pending(&client), [(POOL, HIRE_MAX), (POOL, 2)]);
    let (id, _) = rental_sent(&mut client, now);
    // What was sent keeps its content.
    client.scale_out(POOL, "f", "z", 1, now);
    assert_eq!(pending(&client).len(), 3);
    assert!(client.on_response(id, refusal("trouble"), now).is_empty());
    assert_eq!(pending(&client), [(POOL, 2), (POOL, 1)]);
}

#[test]
fn a_return_is_retried_until_it_is_confirmed() {
    let now = Instant::now();
    let mut client = CloudClient::new(100.0, now);
    client.scale_in(&MachineId::new("i-1"), now);
    client.poll(true, now);
    let id = client.out.iter().find(|(_, c)| matches!(c, CloudRequest::ScaleIn(_))).unwrap().0;
    assert!(client.on_response(id, Err(CallError::NotSent), now).is_empty());
    client.out.clear();
    client.poll(true, now + RETRY_PAUSE * 3);
    let (id, _) =
        client.out.iter().find(|(_, c)| matches!(c, CloudRequest::ScaleIn(_))).cloned().unwrap();
    let events = client.on_response(id, Ok(Response::empty(200)), now);
    assert!(matches!(&events[..], [CloudEvent::MachinesReturned(m)] if m.len() == 1));
}
