use super::*;
use crate::wire::Precondition;

fn limits(txn_ops: usize) -> KeptLimits {
    KeptLimits {
        rps: 100.0,
        write_rps: 100.0,
        txn_ops,
        value_max: 1800,
        first_max: 14_000,
        chunk: 16_384,
    }
}

fn core(now: Instant) -> StoreClient {
    let mut core = StoreClient::new(limits(4), vec![ControllerId::new("n")], 0, now);
    core.poll(now);
    let (id, _) = core.calls.pop_front().unwrap();
    let page = wire::RangeResponse { rows: vec![], truncated: false, rev: Revision(5) };
    core.on_response(id, StoreResponse::Range(page), now);
    core
}

fn item(ticket: u64, key: &str) -> PendingWrite {
    PendingWrite {
        priority: WritePriority::Interactive,
        origin: WriteOrigin::User(ticket),
        transaction: Transaction {
            guards: vec![Precondition { key: key.into(), rev: Revision(0) }],
            writes: vec![Write::Put { key: key.into(), data: StoreValue::from(1), hold: None }],
        },
    }
}

fn commit(core: &mut StoreClient, now: Instant) -> (u64, Transaction) {
    core.poll(now);
    while let Some((id, call)) = core.calls.pop_front() {
        if let StoreRequest::Commit(txn) = call {
            return (id, txn);
        }
    }
    panic!("no commit was sent")
}

fn outcomes(core: &mut StoreClient) -> Vec<(WriteOrigin, WriteOutcome)> {
    std::iter::from_fn(|| core.events.pop_front())
        .filter_map(|event| match event {
            StoreEvent::Outcome(origin, outcome) => Some((origin, outcome)),
            _ => None,
        })
        .collect()
}

#[test]
fn one_failed_guard_costs_only_its_own_item() {
    let now = Instant::now();
    let mut core = core(now);
    for (ticket, key) in [(1, "t/x/1"), (2, "t/x/2"), (3, "t/x/3")] {
        core.enqueue(item(ticket, key));
    }
    let (id, txn) = commit(&mut core, now);
    assert_eq!(txn.writes.len(), 3);
    core.on_response(id, StoreResponse::Conflict(vec!["t/x/2".into()]), now);
    assert_eq!(outcomes(&mut core), [(WriteOrigin::User(2), WriteOutcome::Conflict)]);
    let (id, txn) = commit(&mut core, now);
    assert_eq!(txn.writes.len(), 2);
    core.on_response(id, StoreResponse::Committed(Revision(9)), now);
    assert_eq!(outcomes(&mut core).len(), 2);
}

#[test]
fn an_item_that_the_service_calls_malformed_holds_up_no_other() {
    let now = Instant::now();
    let mut core = core(now);
    for ticket in 0..3 {
        core.enqueue(item(ticket, &format!("t/x/{ticket}")));
    }
    let (id, _) = commit(&mut core, now);
    core.on_response(id, StoreResponse::Invalid, now);
    let (id, txn) = commit(&mut core, now);
    assert_eq!(txn.writes.len(), 1);
    core.on_response(id, StoreResponse::Invalid, now);
    assert_eq!(outcomes(&mut core), [(WriteOrigin::User(0), WriteOutcome::Invalid)]);
    let later = now + STATE_RETRY * 2;
    let (id, txn) = commit(&mut core, later);
    assert_eq!(txn.writes.len(), 1);
    core.on_response(id, StoreResponse::Committed(Revision(9)), later);
    assert_eq!(outcomes(&mut core), [(WriteOrigin::User(1), WriteOutcome::Committed)]);
}

#[test]
fn a_transaction_keeps_its_limits_and_never_writes_a_key_twice() {
    let now = Instant::now();
    let mut core = core(now);
    for ticket in 0..9 {
        core.enqueue(item(ticket, &format!("t/x/{}", ticket / 2)));
    }
    let mut seen = 0;
    for rev in 0..20 {
        if core.items.is_empty() {
            break;
        }
        let (id, txn) = commit(&mut core, now);
        assert!(txn.writes.len() <= 4);
        let keys: HashSet<_> = txn.writes.iter().map(|w| w.key().to_owned()).collect();
        assert_eq!(keys.len(), txn.writes.len());
        seen += txn.writes.len();
        core.on_response(id, StoreResponse::Committed(Revision(10 + rev)), now);
    }
    assert_eq!(seen, 9);
}

/// Two cancellations that saw a controller's heartbeat before and after it was renewed anew: in
/// one transaction only one of the two revisions would be checked.
#[test]
fn changes_that_saw_a_key_at_two_revisions_go_one_after_the_other() {
    let now = Instant::now();
    let mut core = core(now);
    for (ticket, seen) in [(1, 3), (2, 4), (3, 3)] {
        let mut item = item(ticket, &format!("t/x/{ticket}"));
        item.transaction.guards.push(Precondition { key: "t/a/p/m".into(), rev: Revision(seen) });
        core.enqueue(item);
    }
    let seen = |txn: &Transaction| -> Vec<Revision> {
        txn.guards.iter().filter(|g| g.key == "t/a/p/m").map(|g| g.rev).collect()
    };
    let (id, txn) = commit(&mut core, now);
    assert_eq!((txn.writes.len(), seen(&txn)), (2, vec![Revision(3)]));
    core.on_response(id, StoreResponse::Committed(Revision(9)), now);
    let (id, txn) = commit(&mut core, now);
    assert_eq!((txn.writes.len(), seen(&txn)), (1, vec![Revision(4)]));
    core.on_response(id, StoreResponse::Conflict(vec!["t/a/p/m".into()]), now);
    let told = outcomes(&mut core);
    assert_eq!(told.last(), Some(&(WriteOrigin::User(2), WriteOutcome::Conflict)));
}

/// Machine types are kept in one value or in one each; either way none is ever forgotten.
#[test]
fn machine_types_of_both_layouts_add_up() {
    let flavor = |name: &str, price: f64| MachineType {
        name: name.into(),
        price,
        ..crate::settings::plain_flavor()
    };
    let mut cache = Cache::new(16_384);
    let all = records::to_value(&vec![flavor("a", 1.0), flavor("b", 1.0)]);
    cache.take(MACHINE_TYPES_KEY, Some(&all), Revision(3));
    let one = |name, price| records::to_value(&flavor(name, price));
    cache.take("t/a/f/x", Some(&one("b", 2.0)), Revision(5));
    cache.take("t/a/f/y", Some(&one("c", 3.0)), Revision(6));
    cache.take("t/a/f/x", Some(&one("b", 9.0)), Revision(4));
    let known: Vec<_> = cache.machine_types.0.iter().map(|f| (&*f.name, f.price)).collect();
    assert_eq!(known, [("a", 1.0), ("b", 2.0), ("c", 3.0)]);
}

#[test]
fn a_sync_is_told_only_by_an_answer_sent_after_it_was_asked() {
    let now = Instant::now();
    let mut core = core(now);
    core.sync(1);
    core.poll(now);
    core.sync(2);
    let syncs: Vec<u64> = core
        .calls
        .drain(..)
        .filter(|(_, call)| matches!(call, StoreRequest::Watch { wait, .. } if wait.is_zero()))
        .map(|(id, _)| id)
        .collect();
    core.on_response(
        syncs[0],
        StoreResponse::Watch(wire::WatchResponse { rev: Revision(7), news: vec![] }),
        now,
    );
    let told: Vec<u64> = std::iter::from_fn(|| core.events.pop_front())
        .filter_map(|e| if let StoreEvent::Synced(t) = e { Some(t) } else { None })
        .collect();
    assert_eq!(told, [1]);
    assert_eq!(core.cache.rev, Revision(7));
}
