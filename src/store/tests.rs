use crate::constants::RETRY_PAUSE;
use crate::ids::{ControllerId, Revision};
use crate::schema::encoding;
use crate::settings::EffectiveStoreLimits;
use crate::store::{
    Cache, MACHINE_TYPES_KEY, OutgoingRequest, PendingWrite, StoreClient, StoreEvent, StoreRequest,
    StoreResponse, WriteOrigin, WriteOutcome, WritePriority,
};
use crate::wire::{self, MachineType, Precondition, StoreValue, Transaction, Write};
use foldhash::HashSet;
use tokio::time::Instant;

fn limits(txn_ops: usize) -> EffectiveStoreLimits {
    EffectiveStoreLimits {
        rps: 100.0,
        write_rps: 100.0,
        txn_ops,
        value_max: 1800,
        legacy_value_max: 14_000,
        legacy_chunk_tasks: 16_384,
    }
}

fn client(now: Instant) -> StoreClient {
    let mut client = StoreClient::new(limits(4), vec![ControllerId::new("n")], 0, now);
    client.poll(now);
    let id = client.next_request().unwrap().id;
    let page = wire::RangeResponse { rows: vec![], truncated: false, rev: Revision(5) };
    client.on_response(id, StoreResponse::Range(page), now);
    client
}

fn write(ticket: u64, key: &str) -> PendingWrite {
    PendingWrite {
        priority: WritePriority::Interactive,
        origin: WriteOrigin::User(ticket),
        transaction: Transaction {
            preconditions: vec![Precondition { key: key.into(), rev: Revision(0) }],
            writes: vec![Write::Put { key: key.into(), data: StoreValue::from(1), lease: None }],
        },
    }
}

fn commit(client: &mut StoreClient, now: Instant) -> (u64, Transaction) {
    client.poll(now);
    while let Some(OutgoingRequest { id, request }) = client.next_request() {
        if let StoreRequest::Commit(transaction) = request {
            return (id, transaction);
        }
    }
    panic!("no commit was sent")
}

fn outcomes(client: &mut StoreClient) -> Vec<(WriteOrigin, WriteOutcome)> {
    std::iter::from_fn(|| client.next_event())
        .filter_map(|event| match event {
            StoreEvent::WriteSettled(origin, outcome) => Some((origin, outcome)),
            _ => None,
        })
        .collect()
}

#[test]
fn failed_precondition_rejects_only_its_own_write() {
    let now = Instant::now();
    let mut client = client(now);
    for (ticket, key) in [(1, "t/x/1"), (2, "t/x/2"), (3, "t/x/3")] {
        client.enqueue(write(ticket, key));
    }
    let (id, transaction) = commit(&mut client, now);
    assert_eq!(transaction.writes.len(), 3);
    client.on_response(id, StoreResponse::Conflict(vec!["t/x/2".into()]), now);
    assert_eq!(outcomes(&mut client), [(WriteOrigin::User(2), WriteOutcome::Conflict)]);
    let (id, transaction) = commit(&mut client, now);
    assert_eq!(transaction.writes.len(), 2);
    client.on_response(id, StoreResponse::Committed(Revision(9)), now);
    assert_eq!(outcomes(&mut client).len(), 2);
}

#[test]
fn malformed_write_does_not_block_other_writes() {
    let now = Instant::now();
    let mut client = client(now);
    for ticket in 0..3 {
        client.enqueue(write(ticket, &format!("t/x/{ticket}")));
    }
    let (id, _) = commit(&mut client, now);
    client.on_response(id, StoreResponse::Invalid, now);
    let (id, transaction) = commit(&mut client, now);
    assert_eq!(transaction.writes.len(), 1);
    client.on_response(id, StoreResponse::Invalid, now);
    assert_eq!(outcomes(&mut client), [(WriteOrigin::User(0), WriteOutcome::Invalid)]);
    let later = now + RETRY_PAUSE * 2;
    let (id, transaction) = commit(&mut client, later);
    assert_eq!(transaction.writes.len(), 1);
    client.on_response(id, StoreResponse::Committed(Revision(9)), later);
    assert_eq!(outcomes(&mut client), [(WriteOrigin::User(1), WriteOutcome::Committed)]);
}

#[test]
fn transaction_respects_its_limit_and_writes_each_key_once() {
    let now = Instant::now();
    let mut client = client(now);
    for ticket in 0..9 {
        client.enqueue(write(ticket, &format!("t/x/{}", ticket / 2)));
    }
    let mut written = 0;
    for rev in 0..20 {
        if client.queue_length() == 0 {
            break;
        }
        let (id, transaction) = commit(&mut client, now);
        assert!(transaction.writes.len() <= 4);
        let keys: HashSet<_> = transaction.writes.iter().map(|w| w.key().to_owned()).collect();
        assert_eq!(keys.len(), transaction.writes.len());
        written += transaction.writes.len();
        client.on_response(id, StoreResponse::Committed(Revision(10 + rev)), now);
    }
    assert_eq!(written, 9);
}

/// Two cancellations may have read a controller's lease key before and after the key was written
/// again. If they shared a transaction, only one of the two revisions would be checked.
#[test]
fn writes_that_expect_a_key_at_different_revisions_use_separate_transactions() {
    let now = Instant::now();
    let mut client = client(now);
    for (ticket, lease_revision) in [(1, 3), (2, 4), (3, 3)] {
        let mut write = write(ticket, &format!("t/x/{ticket}"));
        write
            .transaction
            .preconditions
            .push(Precondition { key: "t/a/p/m".into(), rev: Revision(lease_revision) });
        client.enqueue(write);
    }
    let lease_revisions = |transaction: &Transaction| -> Vec<Revision> {
        transaction.preconditions.iter().filter(|p| p.key == "t/a/p/m").map(|p| p.rev).collect()
    };
    let (id, transaction) = commit(&mut client, now);
    assert_eq!((transaction.writes.len(), lease_revisions(&transaction)), (2, vec![Revision(3)]));
    client.on_response(id, StoreResponse::Committed(Revision(9)), now);
    let (id, transaction) = commit(&mut client, now);
    assert_eq!((transaction.writes.len(), lease_revisions(&transaction)), (1, vec![Revision(4)]));
    client.on_response(id, StoreResponse::Conflict(vec!["t/a/p/m".into()]), now);
    let outcomes = outcomes(&mut client);
    assert_eq!(outcomes.last(), Some(&(WriteOrigin::User(2), WriteOutcome::Conflict)));
}

/// Machine types are stored as one list or under one key each. The cache must merge both, and must never lose a type.
#[test]
fn machine_types_of_both_layouts_are_merged() {
    let machine_type = |name: &str, price: f64| MachineType {
        name: name.into(),
        price,
        ..crate::settings::fixtures::machine_type()
    };
    let mut cache = Cache::new(16_384);
    let all = encoding::to_value(&vec![machine_type("a", 1.0), machine_type("b", 1.0)]);
    cache.apply(MACHINE_TYPES_KEY, Some(&all), Revision(3));
    let one = |name, price| encoding::to_value(&machine_type(name, price));
    cache.apply("t/a/f/x", Some(&one("b", 2.0)), Revision(5));
    cache.apply("t/a/f/y", Some(&one("c", 3.0)), Revision(6));
    cache.apply("t/a/f/x", Some(&one("b", 9.0)), Revision(4));
    let known: Vec<_> =
        cache.machine_types.value.iter().map(|offered| (&*offered.name, offered.price)).collect();
    assert_eq!(known, [("a", 1.0), ("b", 2.0), ("c", 3.0)]);
}

#[test]
fn linearizable_read_requires_a_response_to_a_request_sent_after_it() {
    let now = Instant::now();
    let mut client = client(now);
    client.sync(1);
    client.poll(now);
    client.sync(2);
    let requests = std::iter::from_fn(|| client.next_request());
    let syncs: Vec<u64> = requests
        .filter(|outgoing| matches!(&outgoing.request, StoreRequest::Watch { wait, .. } if wait.is_zero()))
        .map(|outgoing| outgoing.id)
        .collect();
    client.on_response(
        syncs[0],
        StoreResponse::Watch(wire::WatchResponse { rev: Revision(7), events: vec![] }),
        now,
    );
    let synced: Vec<u64> = std::iter::from_fn(|| client.next_event())
        .filter_map(|e| if let StoreEvent::Synced(t) = e { Some(t) } else { None })
        .collect();
    assert_eq!(synced, [1]);
    assert_eq!(client.cache.rev, Revision(7));
}
