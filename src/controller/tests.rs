use super::*;
use crate::leadership::delegation::DELEGATION_AFTER;
use crate::schema::records::{FORMAT, VersionRecord};
use crate::store::Versioned;

/// Two grants relayed in pieces within one beat once had one number: the second's number would
/// have come with the first's list of barred machines, and been acknowledged.
#[test]
fn pieces_of_two_relayed_messages_are_never_put_together() {
    let settings = Arc::new(crate::settings::plain(r#"[{"name":"t","cpus_max":8.0}]"#));
    let now = Instant::now();
    let mut node = Controller::new(settings, 1, WallClock { at: now, ms: 5 }).unwrap();
    node.state.poll(now);
    let id = node.state.next_request().unwrap().id;
    let page = wire::RangeResponse { rows: vec![], truncated: false, rev: Revision(1) };
    node.state.on_response(id, StoreResponse::Range(page), now);
    let record = VersionRecord { format: FORMAT, legacy_chunk_tasks: 16_384 };
    let version = Versioned::new(record, Revision(1));
    node.state.cache.versions.insert(ControllerId::new("n"), version);
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
    let (mut pieces, mut got) = (ChunkAssembler::default(), Vec::new());
    for number in 1..3 {
        node.relay(&ControllerId::new("m"), &grant(number));
        node.state.poll(now);
        while let Some(OutgoingRequest { id, request: call }) = node.state.next_request() {
            let StoreRequest::Commit(txn) = call else { continue };
            for write in &txn.writes {
                let Write::Put { data, .. } = write else { panic!() };
                got.extend(pieces.push(data.as_text().unwrap()));
            }
            node.state.on_response(id, StoreResponse::Committed(Revision(1 + number)), now);
        }
        while node.state.next_event().is_some() {}
    }
    let whole: Vec<_> = got.iter().map(|text| mesh::decode_text(text).ok()).collect();
    assert_eq!(whole, [Some(grant(1)), Some(grant(2))]);
}

/// A leader whose sockets are workers' leaves users to others, but only to such as are surely there.
#[test]
fn a_crowded_leader_leaves_users_to_others_that_are_there() {
    let now = Instant::now();
    let settings = Arc::new(crate::settings::plain(r#"[{"name":"t","cpus_max":8.0}]"#));
    let up = |crowded: bool, peers: &[(bool, u64)]| {
        let mut node = Controller::new(settings.clone(), 1, WallClock { at: now, ms: 5 }).unwrap();
        node.state.poll(now);
        let id = node.state.next_request().unwrap().id;
        let page = wire::RangeResponse { rows: vec![], truncated: false, rev: Revision(1) };
        node.state.on_response(id, StoreResponse::Range(page), now);
        node.crowded = crowded;
        for (n, (state_lost, up_s)) in peers.iter().enumerate() {
            let up = Duration::from_secs(*up_s);
            let view = PeerView {
                heard: now,
                state_lost: *state_lost,
                up,
                extra: PeerCapabilities::default(),
            };
            node.peers.insert(ControllerId::new(&format!("m-{n}")), view);
        }
        node.is_up(now)
    };
    let there = (false, 100);
    assert!(up(false, &[there, there]));
    assert!(!up(true, &[there, there]));
    assert!(up(true, &[there]), "one might go");
    assert!(up(true, &[there, (false, 1)]), "one has just started");
    assert!(up(true, &[there, (true, 100)]), "one has lost the store");
}

/// Thousands of machines that came up at once, each start a call of its own, cost a leader its lease.
#[test]
fn a_leader_of_many_machines_that_is_behind_calls_few_of_them() {
    let now = Instant::now();
    let settings = Arc::new(crate::settings::plain(r#"[{"name":"t","cpus_max":8.0}]"#));
    let wall = WallClock { at: now, ms: 5 };
    let mut node = Controller::new(settings.clone(), 1, wall).unwrap();
    node.state.cache.machine_types.value = vec![crate::settings::plain_flavor()];
    let most_direct = |node: &mut Controller, machines: u32, behind: bool| {
        let cache = &node.state.cache;
        let token = FencingToken(1);
        let mut scheduler = Scheduler::new(token, Revision(2), settings.clone(), cache, wall, now);
        for n in 0..machines {
            let report = Heartbeat {
                machine: MachineId::new(&format!("i-{n}")),
                address: "127.0.0.1:9000".into(),
                flavor: "f".into(),
                zone: "a".into(),
                spot: false,
                agent_epoch: 1,
                seq: 1,
                token,
                notice_s: None,
                tasks: Vec::new(),
            };
            scheduler.on_report(&report, cache, now);
        }
        scheduler.adjust_pace(if behind { LATE * 2 } else { Duration::ZERO }, now);
        node.scheduler = Some(scheduler);
        node.look_at_limits(now);
        node.scheduler.as_ref().map_or(0, |scheduler| scheduler.max_direct_calls())
    };
    let many = node.ceiling.most() * 3 / 4;
    assert_eq!(most_direct(&mut node, many, true), DIRECT_BEHIND);
    assert!(most_direct(&mut node, many, false) > DIRECT_BEHIND);
    assert!(most_direct(&mut node, 9, true) > DIRECT_BEHIND);
}

/// Users find no path there, whatever they show; whoever has the key and asks the wrong controller is
/// sent on.
#[test]
fn operators_paths_are_shut_without_their_key() {
    let teams = r#"[{"name":"t","cpus_max":8.0}]"#;
    let now = Instant::now();
    let ask = |own: &str, method: Method, shown: &str| {
        let mut settings = crate::settings::plain(teams);
        settings.operator.operator_key = crate::settings::Secret(own.into());
        let mut node =
            Controller::new(Arc::new(settings), 1, WallClock { at: now, ms: 5 }).unwrap();
        let body = serde_json::to_vec(&operator_api::OperatorQuery { key: shown.into() }).unwrap();
        node.on_http(1, Request { method, target: operator_api::AT_RISK_PATH.into(), body }, now);
        match node.out.pop() {
            Some(Effect::Reply(1, response)) => response.status,
            other => panic!("{other:?}"),
        }
    };
    let key = "a key of some length";
    assert_eq!(ask("", Method::Post, ""), 404);
    assert_eq!(ask(key, Method::Post, "a key of same length"), 404);
    assert_eq!(ask(key, Method::Post, ""), 404);
    assert_eq!(ask(key, Method::Get, key), 404);
    assert_eq!(ask(key, Method::Post, key), 421);
}

/// An order is answered once it is written; of two operators at once one is told to look again, and what
/// there is not is not drained.
#[test]
fn an_operators_order_is_answered_when_it_is_kept() {
    let key = "a key of some length";
    let now = Instant::now();
    let mut settings = crate::settings::plain(r#"[{"name":"t","cpus_max":8.0}]"#);
    settings.operator.operator_key = crate::settings::Secret(key.into());
    let mut node = Controller::new(Arc::new(settings), 1, WallClock { at: now, ms: 5 }).unwrap();
    let drain = |name: &str| operator_api::DrainRequest {
        key: key.into(),
        kind: operator_api::DrainKind::Zone,
        name: name.into(),
        by_s: Some(60.0),
        author: "x".into(),
        reason: String::new(),
    };
    let send = |node: &mut Controller, ticket: u64, path: &str, body: Vec<u8>| {
        let request = Request { method: Method::Post, target: path.into(), body };
        node.on_http(ticket, request, now);
    };
    let body = |order: &operator_api::DrainRequest| serde_json::to_vec(order).unwrap();
    let told = |node: &mut Controller| -> Vec<(u64, u16)> {
        let replies = node.out.drain(..).filter_map(|effect| match effect {
            Effect::Reply(ticket, response) => Some((ticket, response.status)),
            _ => None,
        });
        replies.collect()
    };
    send(&mut node, 1, operator_api::DRAIN_PATH, body(&drain("a")));
    assert_eq!(told(&mut node), [(1, 503)], "nothing is known of the store yet");
    node.state.poll(now);
    let id = node.state.next_request().unwrap().id;
    let page = wire::RangeResponse { rows: vec![], truncated: false, rev: Revision(1) };
    node.state.on_response(id, StoreResponse::Range(page), now);
    send(&mut node, 2, operator_api::DRAIN_PATH, body(&drain("nowhere")));
    let undrain = operator_api::UndrainRequest {
        key: key.into(),
        kind: operator_api::DrainKind::Zone,
        name: "a".into(),
    };
    let undrain = serde_json::to_vec(&undrain).unwrap();
    send(&mut node, 3, operator_api::UNDRAIN_PATH, undrain.clone());
    assert_eq!(told(&mut node), [(2, 422), (3, 422)]);
    let mut guarded = Vec::new();
    for (ticket, path, order, reply, status) in [
        (4, operator_api::DRAIN_PATH, body(&drain("a")), None, 409),
        (5, operator_api::DRAIN_PATH, body(&drain("a")), Some(Revision(7)), 200),
        (6, operator_api::UNDRAIN_PATH, undrain, Some(Revision(9)), 200),
        (7, operator_api::DRAIN_PATH, body(&drain("a")), Some(Revision(11)), 200),
    ] {
        send(&mut node, ticket, path, order);
        assert_eq!(told(&mut node), [], "not before it is kept");
        node.state.poll(now);
        let calls: Vec<_> = std::iter::from_fn(|| node.state.next_request()).collect();
        let commit = calls.into_iter().find_map(|OutgoingRequest { id, request }| match request {
            StoreRequest::Commit(txn) => Some((id, txn)),
            _ => None,
        });
        let (id, txn) = commit.unwrap();
        // The key stays when an order is taken back: one without an answer that is carried out late, with the
        // guard of the first one, finds it changed.
        assert!(txn.writes.iter().all(|write| matches!(write, Write::Put { .. })));
        guarded.push(txn.preconditions[0].rev);
        let reply = match reply {
            Some(rev) => StoreResponse::Committed(rev),
            None => StoreResponse::Conflict(vec![txn.preconditions[0].key.clone()]),
        };
        node.state.on_response(id, reply, now);
        while let Some(event) = node.state.next_event() {
            node.on_state(event, now);
        }
        assert_eq!(told(&mut node), [(ticket, status)]);
    }
    assert_eq!(guarded, [Revision(0), Revision(0), Revision(7), Revision(9)]);
    assert_eq!(node.state.cache.drains.len(), 1);
}

/// A leader that lost its right, and has acknowledged a successor's grant, keeps to the successor's bars: that one
/// reckons the lease of a machine that it barred from what is acknowledged. It once went on answering all of its own.
#[test]
fn a_leader_that_knows_of_its_successor_answers_as_those_do_to_whom_that_one_gave_grants() {
    let start = Instant::now();
    let settings = Arc::new(crate::settings::plain(r#"[{"name":"t","cpus_max":8.0}]"#));
    let wall = WallClock { at: start, ms: 5 };
    let mut node = Controller::new(settings.clone(), 1, wall).unwrap();
    node.state.poll(start);
    let id = node.state.next_request().unwrap().id;
    let page = wire::RangeResponse { rows: vec![], truncated: false, rev: Revision(1) };
    node.state.on_response(id, StoreResponse::Range(page), start);
    node.state.cache.machine_types.value = vec![crate::settings::plain_flavor()];
    let report = |name: &str| Heartbeat {
        machine: MachineId::new(name),
        address: "127.0.0.1:9000".into(),
        flavor: "f".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        seq: 1,
        token: FencingToken(1),
        notice_s: None,
        tasks: Vec::new(),
    };
    let cache = &node.state.cache;
    let mut scheduler = Scheduler::new(FencingToken(1), Revision(2), settings, cache, wall, start);
    for name in ["i-1", "i-2"] {
        scheduler.on_report(&report(name), cache, start);
    }
    node.scheduler = Some(scheduler);
    // Nobody is heard, and what is known of the store is new.
    let now = start + DELEGATION_AFTER * 2;
    node.state.synced_at = Some(now);
    let token = |node: &mut Controller, name: &str| {
        node.answer_for_leader(&report(name), now).map(|o| o.token)
    };
    assert_eq!(token(&mut node, "i-1"), Some(FencingToken(1)));
    let revoked = vec![MachineId::new("i-1")];
    node.delegated_lease.take((FencingToken(2), 1), (revoked, vec![]), true, start, start);
    assert_eq!(node.delegated_lease.ack(), (FencingToken(2), 1));
    assert_eq!(token(&mut node, "i-1"), None);
    assert_eq!(token(&mut node, "i-2"), Some(FencingToken(2)));
}
