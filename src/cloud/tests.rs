use super::{CloudClient, CloudEvent, CloudRequest, MachinePool, NO_CAPACITY};
use crate::constants::{MAX_MACHINES_PER_RENTAL, RETRY_PAUSE};
use crate::http::{CallError, Response};
use crate::ids::{FencingToken, MachineId};
use crate::wire;
use tokio::time::Instant;

const POOL: MachinePool = MachinePool { machine_type: 0, zone: 0, spot: true };

fn unavailable(error: &str) -> Result<Response, CallError> {
    let body = wire::encode(&wire::CloudError { error: error.into() });
    Ok(Response::with(503, body))
}

fn pending(client: &CloudClient) -> Vec<(MachinePool, u32)> {
    client.pending_rentals().iter().map(|rental| (rental.pool, rental.count)).collect()
}

fn next_sent_rental(client: &mut CloudClient, now: Instant) -> (u64, String) {
    client.poll(true, now);
    let found = client.out.drain(..).find_map(|(id, call)| match call {
        CloudRequest::ScaleOut(_, rental) => Some((id, rental.request_id)),
        _ => None,
    });
    found.expect("a rental was sent")
}

#[test]
fn rental_is_retried_under_its_name_and_a_new_term_uses_another_name() {
    let now = Instant::now();
    let mut client = CloudClient::new(100.0, now);
    client.begin_leadership(FencingToken(3), now);
    client.scale_out(POOL, "f", "z", 2, now);
    let (id, name) = next_sent_rental(&mut client, now);
    assert!(client.on_response(id, Err(CallError::Unknown), now).is_empty());
    assert_eq!(pending(&client), [(POOL, 2)]);
    let later = now + RETRY_PAUSE * 3;
    let (id, retried_name) = next_sent_rental(&mut client, later);
    assert_eq!(name, retried_name);
    let events = client.on_response(id, unavailable(NO_CAPACITY), later);
    assert!(matches!(events[..], [CloudEvent::CapacityExhausted(POOL)]));
    client.begin_leadership(FencingToken(4), later);
    client.scale_out(POOL, "f", "z", 1, later);
    assert_ne!(next_sent_rental(&mut client, later).1, name);
}

#[test]
fn unsent_rentals_of_a_pool_are_merged_and_an_outage_does_not_exhaust_the_pool() {
    let now = Instant::now();
    let mut client = CloudClient::new(100.0, now);
    client.begin_leadership(FencingToken(3), now);
    client.scale_out(POOL, "f", "z", 2, now);
    client.scale_out(POOL, "f", "z", MAX_MACHINES_PER_RENTAL, now);
    assert_eq!(pending(&client), [(POOL, MAX_MACHINES_PER_RENTAL), (POOL, 2)]);
    let (id, _) = next_sent_rental(&mut client, now);
    // A rental that was sent is not changed.
    client.scale_out(POOL, "f", "z", 1, now);
    assert_eq!(pending(&client).len(), 3);
    assert!(client.on_response(id, unavailable("trouble"), now).is_empty());
    assert_eq!(pending(&client), [(POOL, 2), (POOL, 1)]);
}

#[test]
fn scale_in_is_retried_until_it_is_confirmed() {
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
