//! Records and keys in the store, as they are written and as they are read.

use crate::golden_bytes;
use crate::protocol::{job_spec, machine_type, plain_job_spec};
use crate::sample::Sample;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle::constants::{FORMAT_CONTROLLER_LEASES, TOKENS_PER_TERM};
use troutspindle::drains::{DrainRecord, WITHDRAWN};
use troutspindle::ids::{ControllerId, FencingToken, JobId, LeaseId, MachineId, Revision};
use troutspindle::jobs::{self, Acceptance, FinalState, Jobs};
use troutspindle::leadership::controller_lease::{ControllerLease, controller_lease_key};
use troutspindle::leadership::election::Election;
use troutspindle::schema::keys::{
    COMPLETED_CHUNK_PREFIX, DRAIN_PREFIX, JOB_PREFIX, LEGACY_COMPLETED_CHUNK_PREFIX,
    SPEC_CHUNK_PREFIX, VERSION_PREFIX, completed_chunk_key, drain_key, job_key, key_hash,
    legacy_completed_chunk_key, spec_chunk_key, version_key,
};
use troutspindle::schema::records::{
    FORMAT, JobPhase, JobRecord, Layout, SpecChunks, TaskFootprint, VersionRecord,
};
use troutspindle::settings::EffectiveStoreLimits;
use troutspindle::store::{
    CONTROLLER_LEASE_PREFIX, Cache, ESTIMATES_PREFIX, LEADER_KEY, LeaderRecord, MACHINE_PREFIX,
    MACHINE_TYPE_PREFIX, MACHINE_TYPES_KEY, MachineRecord, OutgoingRequest, PREFIX, RELAY_PREFIX,
    RelayedMessage, StoreClient, StoreRequest, StoreResponse, TOKEN_KEY, Versioned,
};
use troutspindle::wire::{
    self, JobSpec, JobStatus, KeyValue, RangeResponse, StoreValue, Transaction, Write,
};
use troutspindle_protocol::operator_api::DrainKind;
use troutspindle_runtime_estimates::{Bucket, Learner, Profile, RunObservations};

const ACCEPTED_MS: u64 = 1_700_000_000_000;
const FINISHED_MS: u64 = 1_700_000_300_000;
/// First layout, which the previous version reads.
const FIRST_LAYOUT: Layout =
    Layout { format: 0, legacy_chunk_tasks: 16_384, max_operations: 12, value_max: 14_000 };
/// Current layout.
const SECOND_LAYOUT: Layout =
    Layout { format: 2, legacy_chunk_tasks: 16_384, max_operations: 12, value_max: 14_000 };
/// Layout with values so small that a job description takes several chunks.
const SMALL_VALUES: Layout = Layout { value_max: 300, ..SECOND_LAYOUT };

fn job() -> JobId {
    JobId::new("wk-000412")
}

fn node() -> ControllerId {
    ControllerId::new("n-1")
}

fn machine_record() -> MachineRecord {
    MachineRecord {
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
    }
}

fn leader_record() -> LeaderRecord {
    LeaderRecord { controller: node(), token: FencingToken(41) }
}

fn version_record() -> VersionRecord {
    VersionRecord { format: 2, legacy_chunk_tasks: 16_384 }
}

fn drain_record(kind: DrainKind) -> DrainRecord {
    DrainRecord {
        kind,
        name: "a".into(),
        by_ms: Some(FINISHED_MS),
        at_ms: ACCEPTED_MS,
        author: "ana".into(),
        reason: "cooling".into(),
    }
}

fn plain_drain_record() -> DrainRecord {
    DrainRecord {
        by_ms: None,
        author: String::new(),
        reason: String::new(),
        ..drain_record(DrainKind::Zone)
    }
}

/// Returns a record with every field set, which no real job has.
fn full_record() -> JobRecord {
    JobRecord {
        phase: JobPhase::Cancelled,
        accepted_ms: ACCEPTED_MS,
        spec: Some(Arc::new(job_spec())),
        completed: "8102".into(),
        completed_count: 7,
        task: Some(TaskFootprint { team: "team-a".into(), cpus: 1.5, gpus: 0.25, ram_gb: 3.1 }),
        ended_ms: Some(FINISHED_MS),
        remaining_tasks: Some(13),
        spec_chunks: Some(SpecChunks { hash: "0123456789abcdef".into(), count: 3 }),
    }
}

fn plain_record(phase: JobPhase) -> JobRecord {
    JobRecord { phase, ..JobRecord::live(0, None) }
}

fn transaction(name: &'static str, transaction: &Transaction) -> Sample {
    Sample::cbor(name, transaction)
}

/// Applies all writes of a transaction under one revision.
fn apply(jobs: &mut Jobs, transaction: &Transaction, rev: u64) {
    for write in &transaction.writes {
        let Write::Put { key, data, .. } = write else { continue };
        match key.strip_prefix(JOB_PREFIX) {
            Some(id) => jobs.apply_record(JobId::new(id), data, Revision(rev)),
            None => assert!(jobs.apply_auxiliary_key(key, Some(data), Revision(rev)), "{key}"),
        }
    }
}

/// A job's history, with a sample of every transaction that writes it.
struct JobHistory {
    jobs: Jobs,
    layout: Layout,
    rev: u64,
    samples: Vec<Sample>,
}

impl JobHistory {
    fn new(layout: Layout) -> JobHistory {
        JobHistory {
            jobs: Jobs::new(layout.legacy_chunk_tasks),
            layout,
            rev: 0,
            samples: Vec::new(),
        }
    }

    fn commit(&mut self, name: &'static str, written: &Transaction) {
        self.rev += 1;
        self.samples.push(transaction(name, written));
        apply(&mut self.jobs, written, self.rev);
    }

    /// Writes the chunks of the description, if it is split, and the record.
    fn accept(&mut self, chunks_name: Option<&'static str>, name: &'static str, spec: &JobSpec) {
        let spec = Arc::new(spec.clone());
        let acceptance = jobs::accept(&spec, ACCEPTED_MS, &self.layout, &self.jobs);
        let record = match (acceptance, chunks_name) {
            (Acceptance::JobRecord(record), None) => record,
            (Acceptance::SpecChunks(chunks), Some(chunks_name)) => {
                self.commit(chunks_name, &chunks);
                match jobs::accept(&spec, ACCEPTED_MS, &self.layout, &self.jobs) {
                    Acceptance::JobRecord(record) => record,
                    Acceptance::SpecChunks(_) => panic!("{name}: chunks were requested twice"),
                }
            }
            _ => panic!("{name}: unexpected number of chunks"),
        };
        self.commit(name, &record);
        let live = self.jobs.get(&spec.id).unwrap().live().unwrap();
        assert_eq!((&*live.spec, live.accepted_ms), (&*spec, ACCEPTED_MS), "{name}");
    }

    fn complete(&mut self, name: &'static str, tasks: &[u32], second_runs: u64) {
        let job_state = self.jobs.get(&job()).unwrap();
        let completion =
            jobs::complete(&job(), job_state, tasks, second_runs, FINISHED_MS, &self.layout)
                .unwrap();
        self.commit(name, &completion.transaction);
        let job_state = self.jobs.get(&job()).unwrap();
        let done = |live: &jobs::LiveJob| tasks.iter().all(|task| live.is_completed(*task));
        assert!(job_state.live().is_none_or(done), "{name}");
    }

    fn cancel(&mut self, name: &'static str) {
        let job_state = self.jobs.get(&job()).unwrap();
        let cancellation = jobs::cancel(&job(), job_state, FINISHED_MS, &self.layout).unwrap();
        self.commit(name, &cancellation);
        assert_eq!(self.final_state().map(|state| state.status), Some(JobStatus::Cancelled));
    }

    fn collect_garbage(&mut self, name: &'static str) {
        let writes = self.jobs.garbage(100).into_iter().map(|garbage| garbage.write).collect();
        self.samples.push(transaction(name, &Transaction { preconditions: Vec::new(), writes }));
    }

    fn final_state(&self) -> Option<FinalState> {
        self.jobs.get(&job()).unwrap().final_state()
    }
}

fn first_layout() -> Vec<Sample> {
    let mut history = JobHistory::new(FIRST_LAYOUT);
    history.accept(None, "job-first-accept", &JobSpec { depends_on: None, ..job_spec() });
    let all_tasks: Vec<u32> = (0..20).collect();
    history.complete("job-first-done", &all_tasks, 3);
    history.samples
}

fn small_job() -> Vec<Sample> {
    let mut history = JobHistory::new(SECOND_LAYOUT);
    history.accept(None, "job-accept", &JobSpec { depends_on: None, ..job_spec() });
    history.complete("job-some-done", &[0, 7, 19], 0);
    let all_tasks: Vec<u32> = (0..20).collect();
    history.complete("job-done", &all_tasks, 3);
    assert_eq!(
        history.final_state(),
        Some(FinalState { status: JobStatus::Done, completed_tasks: 20 })
    );
    history.samples
}

fn cancelled_job() -> Vec<Sample> {
    let mut history = JobHistory::new(SECOND_LAYOUT);
    history.accept(None, "job-plain-accept", &plain_job_spec());
    let dependent =
        JobSpec { id: JobId::new("wk-000500"), depends_on: Some(vec![job()]), ..job_spec() };
    history.accept(None, "job-needing-accept", &dependent);
    history.complete("job-plain-some-done", &[1], 0);
    history.cancel("job-cancelled");
    history.collect_garbage("job-needing-cancelled");
    history.samples
}

fn large_job() -> Vec<Sample> {
    let mut history = JobHistory::new(SMALL_VALUES);
    let spec = JobSpec { tasks: 10_000, depends_on: None, ..job_spec() };
    history.accept(Some("job-large-parts"), "job-large-accept", &spec);
    history.complete("job-large-pieces", &[0, 4095, 4096, 9999], 0);
    history.cancel("job-large-cancelled");
    history.collect_garbage("job-large-tidied");
    history.samples
}

fn records() -> Vec<Sample> {
    vec![
        Sample::stored("record-full", &full_record()),
        Sample::stored("record-live", &plain_record(JobPhase::Live)),
        Sample::stored("record-done", &plain_record(JobPhase::Done)),
        Sample::cbor_without("record-least", &plain_record(JobPhase::Cancelled), &["at", "n"]),
        Sample::stored("record-machine", &machine_record()),
        Sample::stored("record-leader", &leader_record()),
        Sample::stored("record-version", &version_record()),
        Sample::stored("record-flavor", &machine_type()),
        Sample::stored("record-flavors", &vec![machine_type()]),
        Sample::stored("record-drain-zone", &drain_record(DrainKind::Zone)),
        Sample::stored("record-drain-machine", &drain_record(DrainKind::Machine)),
        Sample::stored("record-drain-controller", &drain_record(DrainKind::Controller)),
        Sample::cbor_without(
            "record-drain-least",
            &plain_drain_record(),
            &["by_ms", "author", "reason"],
        ),
        Sample::written("record-drain-taken-back", wire::encode(&WITHDRAWN)),
    ]
}

fn keys() -> Vec<Sample> {
    vec![
        Sample::written("key-all", PREFIX),
        Sample::written("key-leader", LEADER_KEY),
        Sample::written("key-token", TOKEN_KEY),
        Sample::written("key-flavors", MACHINE_TYPES_KEY),
        Sample::written("key-flavor", MACHINE_TYPE_PREFIX),
        Sample::written("key-machine", MACHINE_PREFIX),
        Sample::written("key-heartbeats", CONTROLLER_LEASE_PREFIX),
        Sample::written("key-heartbeat", controller_lease_key(&node())),
        Sample::written("key-estimates", ESTIMATES_PREFIX),
        Sample::written("key-relay", RELAY_PREFIX),
        Sample::written("key-versions", VERSION_PREFIX),
        Sample::written("key-version", version_key(&node())),
        Sample::written("key-jobs", JOB_PREFIX),
        Sample::written("key-job", job_key(&job())),
        Sample::written("key-chunks", LEGACY_COMPLETED_CHUNK_PREFIX),
        Sample::written("key-chunk", legacy_completed_chunk_key(&job(), 3)),
        Sample::written("key-pieces", COMPLETED_CHUNK_PREFIX),
        Sample::written("key-piece", completed_chunk_key(&job(), 3)),
        Sample::written("key-parts", SPEC_CHUNK_PREFIX),
        Sample::written("key-part", spec_chunk_key(&job(), "0123456789abcdef", 3)),
        Sample::written("key-drains", DRAIN_PREFIX),
        Sample::written("key-drain-zone", drain_key(DrainKind::Zone, "a")),
        Sample::written("key-drain-machine", drain_key(DrainKind::Machine, "a")),
        Sample::written("key-drain-controller", drain_key(DrainKind::Controller, "a")),
        Sample::written("tag-flavor", key_hash(&"g8".to_owned())),
    ]
}

/// Returns a store client that has loaded these rows under revisions from 1 on.
fn loaded(rows: Vec<(String, StoreValue)>, now: Instant) -> StoreClient {
    let limits = EffectiveStoreLimits {
        rps: 150.0,
        write_rps: 60.0,
        txn_ops: 12,
        value_max: 14_000,
        legacy_value_max: 14_000,
        legacy_chunk_tasks: 16_384,
    };
    let mut client = StoreClient::new(limits, vec![node()], 0, now);
    client.poll(now);
    let OutgoingRequest { id, request: call } =
        client.next_request().expect("the client loads pages first");
    assert!(matches!(call, StoreRequest::Range { after: None }));
    let rows = (1..).zip(rows).map(|(rev, (key, data))| KeyValue { key, data, rev: Revision(rev) });
    let page = RangeResponse { rows: rows.collect(), truncated: false, rev: Revision(100) };
    client.on_response(id, StoreResponse::Range(page), now);
    assert!(client.cache.loaded);
    client
}

fn committed(call: StoreRequest) -> Transaction {
    let StoreRequest::Commit(transaction) = call else { panic!("not a commit: {call:?}") };
    transaction
}

/// Samples what a controller writes to become leader, to renew its lease, and to publish its version.
fn controller_commits() -> Vec<Sample> {
    let now = Instant::now();
    let lease = StoreResponse::LeaseGranted(LeaseId(9));
    let cache: Cache = loaded(vec![(TOKEN_KEY.into(), StoreValue::from(40))], now).cache;

    let mut election = Election::new(node(), 0, 0, now);
    let lease_request = election.next_request(&cache, false, now).unwrap();
    let mut step = election.on_response(&lease_request, now, &lease, &cache, now);
    let candidacy = committed(step.requests.remove(0));

    let mut cache = cache;
    cache.versions.insert(node(), Versioned::new(version_record(), Revision(12)));
    let mut controller_lease = ControllerLease::new(&node(), now);
    let lease_request = controller_lease.next_request(&cache, now).unwrap();
    controller_lease.on_response(&lease_request, now, &lease, now);
    let lease_key = committed(controller_lease.next_request(&cache, now).unwrap());

    let mut client = loaded(Vec::new(), now);
    client.publish_version();
    while client.next_request().is_some() {}
    client.poll(now + Duration::from_secs(5));
    let commits = std::iter::from_fn(|| client.next_request()).map(|outgoing| outgoing.request);
    let commits =
        commits.filter(|call| matches!(call, StoreRequest::Commit(_))).map(committed).next();
    let version = commits.expect("the client publishes its version");
    // The first of each pair of lines is as earlier versions write it; only the number in it differs now.
    let earlier_candidacy = with_number(&candidacy, TOKENS_PER_TERM * 2, 41);
    let earlier_version = with_number(&version, FORMAT.into(), FORMAT_CONTROLLER_LEASES.into());
    vec![
        Sample::cbor("commit-campaign", &earlier_candidacy),
        Sample::cbor("commit-campaign-reserving-tokens", &candidacy),
        Sample::cbor("commit-heartbeat", &lease_key),
        Sample::cbor("commit-version", &earlier_version),
        Sample::cbor("commit-version-raised-tokens", &version),
    ]
}

/// Returns the transaction with one number in its values replaced by another.
fn with_number(transaction: &Transaction, from: u64, to: u64) -> Transaction {
    fn replace(value: &mut StoreValue, from: &StoreValue, to: &StoreValue) {
        if value == from {
            *value = to.clone();
        } else if let StoreValue::Map(fields) = value {
            fields.iter_mut().for_each(|(_, value)| replace(value, from, to));
        }
    }
    let mut changed = transaction.clone();
    for write in &mut changed.writes {
        if let Write::Put { data, .. } = write {
            replace(data, &StoreValue::from(from), &StoreValue::from(to));
        }
    }
    changed
}

/// Samples the values that a leader writes after it has observed two runs of one job.
fn estimates() -> Vec<Sample> {
    let profile = Profile {
        job: "wk-000412",
        class: "nightly",
        team: "team-a",
        image: "img-07",
        size: [1_500_000, 0, 3_000_000],
        expect_s: 40.0,
        tasks: 20,
    };
    let mut observed = RunObservations::default();
    [30.0, 40.0, 50.0].into_iter().for_each(|run_s| observed.record_completed(run_s));
    let mut learner = Learner::default();
    learner.learn(&profile, &observed, 490_000);
    learner.learn(&profile, &observed, 490_024);
    let names = ["estimates-1", "estimates-2", "estimates-3", "estimates-4"];
    let writes = (0..).step_by(60_000).map_while(|ms| learner.cache.poll(41, 14_000, ms));
    let writes: Vec<_> = writes.collect();
    assert_eq!(writes.len(), names.len());
    let value = |(name, write): (&'static str, troutspindle_runtime_estimates::BucketWrite)| {
        let bucket = Bucket::decode(&write.value).expect("readable estimates");
        let line = format!("{:02x}:{}", write.bucket, write.value);
        let stamp_and_runs = |bucket: &Bucket| {
            (bucket.stamp, bucket.len(), bucket.runs().copied().collect::<Vec<_>>())
        };
        let expected = stamp_and_runs(&bucket);
        Sample::read_by(name, line, &expected, move |bytes| {
            let (_, text) = std::str::from_utf8(bytes).ok()?.split_once(':')?;
            Some(stamp_and_runs(&Bucket::decode(text).ok()?))
        })
    };
    names.into_iter().zip(writes).map(value).collect()
}

pub(crate) fn samples() -> Vec<Sample> {
    let groups = [
        records(),
        keys(),
        first_layout(),
        small_job(),
        cancelled_job(),
        large_job(),
        controller_commits(),
        estimates(),
    ];
    groups.into_iter().flatten().collect()
}

fn golden_data(name: &str) -> StoreValue {
    wire::decode(&golden_bytes(name)).unwrap()
}

/// A controller that starts loads each record from its key.
#[test]
fn records_are_loaded_from_their_keys() {
    let key_of_drain = String::from_utf8(golden_bytes("key-drain-zone")).unwrap();
    let row = |key: &str, data: StoreValue| (key.to_owned(), data);
    let rows = vec![
        row("t/a/leader", golden_data("record-leader")),
        row("t/a/token", StoreValue::from(41)),
        row("t/a/flavors", golden_data("record-flavors")),
        row("t/a/f/0123456789abcdef", golden_data("record-flavor")),
        row("t/a/p/n-1", StoreValue::Bool(true)),
        row("t/a/v/n-1", golden_data("record-version")),
        row("t/e/1f", StoreValue::from("learned")),
        row("t/m/i-000231", golden_data("record-machine")),
        row("t/x/n-2/n-1", StoreValue::from("00")),
        row(&key_of_drain, golden_data("record-drain-zone")),
    ];
    let client = loaded(rows, Instant::now());
    let cache = client.cache;
    assert_eq!(cache.leader, Some(Versioned::new(leader_record(), Revision(1))));
    assert_eq!(cache.token, Versioned::new(FencingToken(41), Revision(2)));
    assert_eq!(cache.machine_types, Versioned::new(vec![machine_type()], Revision(3)));
    assert_eq!(cache.machine_type_key_revisions.get("t/a/f/0123456789abcdef"), Some(&Revision(4)));
    assert_eq!(cache.controller_leases.get(&node()), Some(&Revision(5)));
    assert_eq!(cache.versions.get(&node()), Some(&Versioned::new(version_record(), Revision(6))));
    assert_eq!(
        cache.estimates.get(&0x1f),
        Some(&Versioned::new(Some("learned".into()), Revision(7)))
    );
    let machine = cache.machines.get(&MachineId::new("i-000231"));
    assert_eq!(machine, Some(&Versioned::new(machine_record(), Revision(8))));
    assert_eq!(
        cache.relayed_messages,
        [RelayedMessage { route: "n-2/n-1".into(), text: "00".into() }]
    );
    let drain = cache.drains.get(&key_of_drain);
    assert_eq!(drain, Some(&Versioned::new(drain_record(DrainKind::Zone), Revision(10))));
}

/// Applies each transaction of a large job from the fixture in commit order.
#[test]
fn a_large_job_is_read_from_its_transactions() {
    let mut jobs = Jobs::new(SMALL_VALUES.legacy_chunk_tasks);
    for (rev, name) in (1..).zip(["job-large-parts", "job-large-accept", "job-large-pieces"]) {
        let written: Transaction = wire::decode(&golden_bytes(name)).unwrap();
        apply(&mut jobs, &written, rev);
    }
    let live = jobs.get(&job()).unwrap().live().unwrap();
    assert_eq!(*live.spec, JobSpec { tasks: 10_000, depends_on: None, ..job_spec() });
    let done: Vec<u32> = (0..10_000).filter(|task| live.is_completed(*task)).collect();
    assert_eq!((live.accepted_ms, done), (ACCEPTED_MS, vec![0, 4095, 4096, 9999]));
}

/// Reads the records of finished jobs from the fixture.
#[test]
fn a_finished_job_is_read_with_its_tasks_that_may_still_run() {
    for (name, final_state, remaining) in [
        ("job-done", FinalState { status: JobStatus::Done, completed_tasks: 20 }, 3),
        ("job-cancelled", FinalState { status: JobStatus::Cancelled, completed_tasks: 1 }, 19),
    ] {
        let written: Transaction = wire::decode(&golden_bytes(name)).unwrap();
        let mut jobs = Jobs::new(SECOND_LAYOUT.legacy_chunk_tasks);
        apply(&mut jobs, &written, 1);
        let job_state = jobs.get(&job()).unwrap();
        assert_eq!(
            (job_state.final_state(), job_state.finished_ms()),
            (Some(final_state), Some(FINISHED_MS)),
            "{name}"
        );
        let jobs::JobBody::Finished { orphaned_tasks: Some(orphaned), .. } = &job_state.body else {
            panic!("{name}")
        };
        assert_eq!((&*orphaned.team, orphaned.tasks), ("team-a", Some(remaining)), "{name}");
        assert_eq!(
            (orphaned.request.cpu, orphaned.request.gpu, orphaned.request.ram),
            (1_500_000, 250_000, 3_100_000)
        );
    }
}
