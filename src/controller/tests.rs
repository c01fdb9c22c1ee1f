//! Tests of the controller across its submodules.

use super::peer_table::PeerStatusView;
use super::ticks::WORKER_CALLS_WHEN_BEHIND;
use super::{Controller, Effect};
use crate::clock::WallClock;
use crate::http::{Method, Request};
use crate::ids::{ControllerId, FencingToken, MachineId, Revision};
use crate::leadership::delegation::{GrantId, GrantedMachines, PEER_UNREACHABLE_AFTER};
use crate::peers::mesh::{self, ChunkAssembler, PeerCapabilities, PeerMessage};
use crate::peers::message_route::MessageRoute;
use crate::scheduler::Scheduler;
use crate::scheduler::planning_clock::LATE_TICK;
use crate::schema::records::{FORMAT, VersionRecord};
use crate::store::{OutgoingRequest, StoreRequest, StoreResponse, Versioned};
use crate::wire::{Heartbeat, RangeResponse, Write};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_protocol::operator_api;

/// Lets the controller read a store without keys.
fn read_empty_store(controller: &mut Controller, now: Instant) {
    controller.store.poll(now);
    let id = controller.store.next_request().unwrap().id;
    let page = RangeResponse { rows: vec![], truncated: false, rev: Revision(1) };
    controller.store.on_response(id, StoreResponse::Range(page), now);
}

/// Guards against two chunked grants within one status interval that share a message number. The receiver could then
/// combine the second grant's number with the first grant's list of revoked machines, and acknowledge it.
#[test]
fn chunks_of_two_messages_through_the_store_are_never_combined() {
    let settings =
        Arc::new(crate::settings::fixtures::settings(r#"[{"name":"t","cpus_max":8.0}]"#));
    let now = Instant::now();
    let mut controller = Controller::new(settings, 1, WallClock { at: now, ms: 5 }).unwrap();
    read_empty_store(&mut controller, now);
    let version =
        Versioned::new(VersionRecord { format: FORMAT, legacy_chunk_tasks: 16_384 }, Revision(1));
    controller.store.cache.versions.insert(ControllerId::new("n"), version);
    let grant = |number: u64| {
        let names = (0..2000).map(|n| MachineId::new(&format!("i-{:06}", n * number)));
        let revoked = names.collect();
        PeerMessage::LeaseGrant {
            seq: 9,
            token: FencingToken(41),
            number,
            revoked,
            delegated: vec![],
        }
    };
    let (mut chunks, mut received) = (ChunkAssembler::default(), Vec::new());
    for number in 1..3 {
        controller.send_by_store(&ControllerId::new("m"), &grant(number));
        controller.store.poll(now);
        while let Some(OutgoingRequest { id, request: call }) = controller.store.next_request() {
            let StoreRequest::Commit(txn) = call else { continue };
            for write in &txn.writes {
                let Write::Put { data, .. } = write else { panic!() };
                received.extend(chunks.push(data.as_text().unwrap()));
            }
            controller.store.on_response(id, StoreResponse::Committed(Revision(1 + number)), now);
        }
        while controller.store.next_event().is_some() {}
    }
    let decoded: Vec<_> = received.iter().map(|text| mesh::decode_text(text).ok()).collect();
    assert_eq!(decoded, [Some(grant(1)), Some(grant(2))]);
}

/// A leader whose sockets are mostly used by workers sheds users only to two established peers that have the store.
#[test]
fn leader_sheds_users_only_to_two_established_peers() {
    let now = Instant::now();
    let settings =
        Arc::new(crate::settings::fixtures::settings(r#"[{"name":"t","cpus_max":8.0}]"#));
    let ready = |sheds_users: bool, peers: &[(bool, u64)]| {
        let mut controller =
            Controller::new(settings.clone(), 1, WallClock { at: now, ms: 5 }).unwrap();
        read_empty_store(&mut controller, now);
        controller.limits.sheds_users = sheds_users;
        for (n, (store_lost, uptime_s)) in peers.iter().enumerate() {
            let view = PeerStatusView {
                last_heard: now,
                store_lost: *store_lost,
                uptime: Duration::from_secs(*uptime_s),
                capabilities: PeerCapabilities::default(),
            };
            controller.peers.record_status(ControllerId::new(&format!("m-{n}")), view);
        }
        controller.is_ready(now)
    };
    let established = (false, 100);
    assert!(ready(false, &[established, established]));
    assert!(!ready(true, &[established, established]));
    assert!(ready(true, &[established]), "a single peer might fail");
    assert!(ready(true, &[established, (false, 1)]), "one peer has just started");
    assert!(ready(true, &[established, (true, 100)]), "one peer has lost the store");
}

/// Direct calls to each of thousands of machines that boot at the same time would cost a leader its lease.
#[test]
fn leader_of_many_machines_limits_direct_calls_while_behind() {
    let now = Instant::now();
    let settings =
        Arc::new(crate::settings::fixtures::settings(r#"[{"name":"t","cpus_max":8.0}]"#));
    let wall = WallClock { at: now, ms: 5 };
    let mut controller = Controller::new(settings.clone(), 1, wall).unwrap();
    controller.store.cache.machine_types.value = vec![crate::settings::fixtures::machine_type()];
    let max_calls = |controller: &mut Controller, machines: u32, falls_behind: bool| {
        let cache = &controller.store.cache;
        let token = FencingToken(1);
        let mut scheduler = Scheduler::new(token, Revision(2), settings.clone(), cache, wall, now);
        for n in 0..machines {
            let heartbeat = Heartbeat {
                machine: MachineId::new(&format!("i-{n}")),
                address: "127.0.0.1:9000".into(),
                machine_type: "f".into(),
                zone: "a".into(),
                spot: false,
                agent_epoch: 1,
                seq: 1,
                token,
                notice_s: None,
                tasks: Vec::new(),
            };
            scheduler.on_heartbeat(&heartbeat, cache, now);
        }
        scheduler.adjust_pace(if falls_behind { LATE_TICK * 2 } else { Duration::ZERO }, now);
        controller.scheduler = Some(scheduler);
        controller.update_limits(now);
        controller.scheduler.as_ref().map_or(0, |scheduler| scheduler.max_direct_calls())
    };
    let many = controller.limits.machine_limit.current() * 3 / 4;
    assert_eq!(max_calls(&mut controller, many, true), WORKER_CALLS_WHEN_BEHIND);
    assert!(max_calls(&mut controller, many, false) > WORKER_CALLS_WHEN_BEHIND);
    assert!(max_calls(&mut controller, 9, true) > WORKER_CALLS_WHEN_BEHIND);
}

/// Operators' paths respond with 404 to any request without the operator key or with the wrong method. With the key, a
/// controller that doesn't lead responds with 421.
#[test]
fn operator_paths_respond_with_404_without_the_operator_key() {
    let teams = r#"[{"name":"t","cpus_max":8.0}]"#;
    let now = Instant::now();
    let status = |configured_key: &str, method: Method, sent_key: &str| {
        let mut settings = crate::settings::fixtures::settings(teams);
        settings.operator.operator_key = crate::settings::Secret(configured_key.into());
        let mut controller =
            Controller::new(Arc::new(settings), 1, WallClock { at: now, ms: 5 }).unwrap();
        let body =
            serde_json::to_vec(&operator_api::OperatorQuery { key: sent_key.into() }).unwrap();
        let request = Request { method, target: operator_api::AT_RISK_PATH.into(), body };
        controller.on_request(1, &request, now);
        match controller.effects.pop() {
            Some(Effect::Respond { ticket: 1, response }) => response.status,
            other => panic!("{other:?}"),
        }
    };
    let key = "a key of some length";
    assert_eq!(status("", Method::Post, ""), 404);
    assert_eq!(status(key, Method::Post, "a key of same length"), 404);
    assert_eq!(status(key, Method::Post, ""), 404);
    assert_eq!(status(key, Method::Get, key), 404);
    assert_eq!(status(key, Method::Post, key), 421);
}

/// The response to a drain or its withdrawal follows the commit. Of two concurrent operators one gets a conflict, and
/// a target that doesn't exist is rejected.
#[test]
fn drain_gets_its_response_once_it_is_committed() {
    let key = "a key of some length";
    let now = Instant::now();
    let mut settings = crate::settings::fixtures::settings(r#"[{"name":"t","cpus_max":8.0}]"#);
    settings.operator.operator_key = crate::settings::Secret(key.into());
    let mut controller =
        Controller::new(Arc::new(settings), 1, WallClock { at: now, ms: 5 }).unwrap();
    let drain = |name: &str| operator_api::DrainRequest {
        key: key.into(),
        kind: operator_api::DrainKind::Zone,
        name: name.into(),
        by_s: Some(60.0),
        author: "x".into(),
        reason: String::new(),
    };
    let send = |controller: &mut Controller, ticket: u64, path: &str, body: Vec<u8>| {
        let request = Request { method: Method::Post, target: path.into(), body };
        controller.on_request(ticket, &request, now);
    };
    let body = |request: &operator_api::DrainRequest| serde_json::to_vec(request).unwrap();
    let responses = |controller: &mut Controller| -> Vec<(u64, u16)> {
        let replies = controller.effects.drain(..).filter_map(|effect| match effect {
            Effect::Respond { ticket, response } => Some((ticket, response.status)),
            _ => None,
        });
        replies.collect()
    };
    send(&mut controller, 1, operator_api::DRAIN_PATH, body(&drain("a")));
    assert_eq!(responses(&mut controller), [(1, 503)], "the store has not been read yet");
    read_empty_store(&mut controller, now);
    send(&mut controller, 2, operator_api::DRAIN_PATH, body(&drain("nowhere")));
    let undrain = operator_api::UndrainRequest {
        key: key.into(),
        kind: operator_api::DrainKind::Zone,
        name: "a".into(),
    };
    let undrain = serde_json::to_vec(&undrain).unwrap();
    send(&mut controller, 3, operator_api::UNDRAIN_PATH, undrain.clone());
    assert_eq!(responses(&mut controller), [(2, 422), (3, 422)]);
    let mut precondition_revisions = Vec::new();
    for (ticket, path, request, committed_at, status) in [
        (4, operator_api::DRAIN_PATH, body(&drain("a")), None, 409),
        (5, operator_api::DRAIN_PATH, body(&drain("a")), Some(Revision(7)), 200),
        (6, operator_api::UNDRAIN_PATH, undrain, Some(Revision(9)), 200),
        (7, operator_api::DRAIN_PATH, body(&drain("a")), Some(Revision(11)), 200),
    ] {
        send(&mut controller, ticket, path, request);
        assert_eq!(responses(&mut controller), [], "no response before the commit");
        controller.store.poll(now);
        let calls: Vec<_> = std::iter::from_fn(|| controller.store.next_request()).collect();
        let commit = calls.into_iter().find_map(|OutgoingRequest { id, request }| match request {
            StoreRequest::Commit(txn) => Some((id, txn)),
            _ => None,
        });
        let (id, txn) = commit.unwrap();
        // A withdrawal keeps the key, so that an earlier transaction that is applied late fails its precondition.
        assert!(txn.writes.iter().all(|write| matches!(write, Write::Put { .. })));
        precondition_revisions.push(txn.preconditions[0].rev);
        let response = match committed_at {
            Some(rev) => StoreResponse::Committed(rev),
            None => StoreResponse::Conflict(vec![txn.preconditions[0].key.clone()]),
        };
        controller.store.on_response(id, response, now);
        while let Some(event) = controller.store.next_event() {
            controller.on_store_event(event, now);
        }
        assert_eq!(responses(&mut controller), [(ticket, status)]);
    }
    assert_eq!(precondition_revisions, [Revision(0), Revision(0), Revision(7), Revision(9)]);
    assert_eq!(controller.store.cache.drains.len(), 1);
}

/// A former leader that has acknowledged a successor's grant follows the successor's revocations. From such
/// acknowledgements the successor computes when the lease of a revoked machine expires.
#[test]
fn former_leader_with_a_grant_of_its_successor_answers_as_its_follower() {
    let start = Instant::now();
    let settings =
        Arc::new(crate::settings::fixtures::settings(r#"[{"name":"t","cpus_max":8.0}]"#));
    let wall = WallClock { at: start, ms: 5 };
    let mut controller = Controller::new(settings.clone(), 1, wall).unwrap();
    read_empty_store(&mut controller, start);
    controller.store.cache.machine_types.value = vec![crate::settings::fixtures::machine_type()];
    let heartbeat = |name: &str| Heartbeat {
        machine: MachineId::new(name),
        address: "127.0.0.1:9000".into(),
        machine_type: "f".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        seq: 1,
        token: FencingToken(1),
        notice_s: None,
        tasks: Vec::new(),
    };
    let cache = &controller.store.cache;
    let mut scheduler = Scheduler::new(FencingToken(1), Revision(2), settings, cache, wall, start);
    for name in ["i-1", "i-2"] {
        scheduler.on_heartbeat(&heartbeat(name), cache, start);
    }
    controller.scheduler = Some(scheduler);
    // No peer is reachable, and the store data is recent.
    let now = start + PEER_UNREACHABLE_AFTER * 2;
    controller.store.synced_at = Some(now);
    let token = |controller: &mut Controller, name: &str| {
        controller.answer_for_leader(&heartbeat(name), now).map(|commands| commands.token)
    };
    assert_eq!(token(&mut controller, "i-1"), Some(FencingToken(1)));
    let revoked = vec![MachineId::new("i-1")];
    let id = GrantId { token: FencingToken(2), number: 1 };
    let machines = GrantedMachines { revoked, delegated: vec![] };
    controller.delegated_lease.record_grant(id, machines, MessageRoute::Direct, start, start);
    assert_eq!(controller.delegated_lease.acknowledged(), id);
    assert_eq!(token(&mut controller, "i-1"), None);
    assert_eq!(token(&mut controller, "i-2"), Some(FencingToken(2)));
    // The successor has raised the token of this worker.
    let raised = FencingToken(2).raised(FencingToken(2)).unwrap();
    let reported = Heartbeat { token: raised, ..heartbeat("i-2") };
    let answer = controller.answer_for_leader(&reported, now);
    assert_eq!(answer.map(|commands| commands.token), Some(raised));
}
