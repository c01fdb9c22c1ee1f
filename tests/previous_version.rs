//! Compatibility with the version in production: this version reads what production wrote, and writes what production
//! reads. The fixture says how it was made; production's types are in `crates/simulation/src/previous_version.rs`.

use std::sync::Arc;
use troutspindle::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use troutspindle::jobs::{self, Acceptance, FinalState, Jobs};
use troutspindle::peers::mesh;
use troutspindle::schema::keys::JOB_PREFIX;
use troutspindle::schema::records::Layout;
use troutspindle::store::{LEADER_KEY, LeaderRecord, MACHINE_TYPES_KEY, MachineRecord, TOKEN_KEY};
use troutspindle::wire::{
    self, JobKind, JobSpec, JobStatus, MachineType, Priority, StoreValue, Transaction, Write,
};

/// Layout while any controller may still run the production version.
const PRODUCTION_LAYOUT: Layout =
    Layout { format: 0, legacy_chunk_tasks: 16_384, max_operations: 12, value_max: 14_000 };

/// Returns name, key and hexadecimal value of each line of the fixture.
fn lines() -> Vec<[&'static str; 3]> {
    let text = include_str!("fixtures/production.txt");
    let fields = |line: &'static str| {
        let mut fields = line.split(' ');
        [(); 3].map(|()| fields.next().unwrap())
    };
    text.lines().filter(|line| !line.starts_with('#')).map(fields).collect()
}

fn value(hex: &str) -> StoreValue {
    wire::decode(&wire::unhex(hex).unwrap()).unwrap()
}

fn apply(jobs: &mut Jobs, name: &str, rev: u64) {
    for [line, key, hex] in lines() {
        let of_job = key.starts_with(JOB_PREFIX) || key.starts_with("t/k/");
        if line != name || !of_job {
            continue;
        }
        let data = (hex != "-").then(|| value(hex));
        match (key.strip_prefix(JOB_PREFIX), data) {
            (Some(id), Some(data)) => jobs.apply_record(JobId::new(id), &data, Revision(rev)),
            (_, data) => drop(jobs.apply_auxiliary_key(key, data.as_ref(), Revision(rev))),
        }
    }
}

fn spec(id: &str, tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::new(id),
        class: "nightly".into(),
        team: "team-a".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks,
        cpus: 1.5,
        gpus: 0.0,
        ram_gb: 3.0,
        image: "img-07".into(),
        image_gb: 1.2,
        machine_types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        one_zone: false,
        spread: true,
        spot: true,
        expect_s: 40.0,
        checkpoint_s: 10.0,
        save_s: 2.0,
        due_s: Some(300.0),
        depends_on: None,
    }
}

#[test]
fn every_production_record_is_read_with_its_original_meaning() {
    let mut jobs = Jobs::new(PRODUCTION_LAYOUT.legacy_chunk_tasks);
    let (small_job, large_job) = (JobId::new("wk-1"), JobId::new("wk-2"));
    apply(&mut jobs, "accepted", 1);
    let live = jobs.get(&small_job).unwrap().live().unwrap();
    assert_eq!((&*live.spec, live.accepted_ms), (&spec("wk-1", 20), 1_700_000_000_000));
    assert!(live.is_ready());
    apply(&mut jobs, "some-done", 2);
    for (id, interval, tasks) in [(&small_job, 7, 20), (&large_job, 9973, 100_000)] {
        let live = jobs.get(id).unwrap().live().unwrap();
        assert!((0..tasks).all(|task| live.is_completed(task) == (task % interval == 0)), "{id}");
    }
    apply(&mut jobs, "cancelled", 3);
    assert_eq!(
        jobs.get(&small_job).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Cancelled, completed_tasks: 3 })
    );
    assert_eq!(
        jobs.get(&large_job).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Cancelled, completed_tasks: 11 })
    );
    assert!(jobs.garbage(100).is_empty(), "production removes legacy chunks itself");
    let mut jobs = Jobs::new(PRODUCTION_LAYOUT.legacy_chunk_tasks);
    apply(&mut jobs, "done", 1);
    assert_eq!(
        jobs.get(&small_job).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Done, completed_tasks: 20 })
    );

    let find = |key: &str| lines().into_iter().find(|line| line[1] == key).unwrap();
    let machine: MachineRecord = value(find("t/m/i-000231")[2]).deserialized().unwrap();
    assert_eq!((&*machine.address, machine.spot), ("10.1.0.232:9000", true));
    let leader: LeaderRecord = value(find(LEADER_KEY)[2]).deserialized().unwrap();
    assert_eq!(
        leader,
        LeaderRecord { controller: ControllerId::new("n-1"), token: FencingToken(41) }
    );
    assert_eq!(value(find(TOKEN_KEY)[2]).deserialized::<FencingToken>().unwrap(), FencingToken(41));
    let machine_types: Vec<MachineType> = value(find(MACHINE_TYPES_KEY)[2]).deserialized().unwrap();
    assert_eq!((machine_types.len(), machine_types[0].spot_price), (1, 4.5));
}

/// Before the cluster version is raised, records have exactly production's bytes.
#[test]
fn records_have_production_bytes_until_the_cluster_version_is_raised() {
    let written = |change: &Transaction| -> Vec<(String, String)> {
        let puts = change.writes.iter().filter_map(|write| match write {
            Write::Put { key, data, .. } => Some((key.clone(), wire::hex(&wire::encode(data)))),
            Write::Delete { .. } => None,
        });
        puts.collect()
    };
    let expected = |name: &str, id: &str| -> Vec<(String, String)> {
        let of_job = |key: &str| key.split('/').nth(2) == Some(id);
        let lines = lines().into_iter().filter(|line| line[0] == name && of_job(line[1]));
        lines.filter(|line| line[2] != "-").map(|line| (line[1].into(), line[2].into())).collect()
    };
    for (id, tasks, interval) in [("wk-1", 20u64, 7), ("wk-2", 100_000, 9973)] {
        let mut jobs = Jobs::new(PRODUCTION_LAYOUT.legacy_chunk_tasks);
        let spec = Arc::new(spec(id, tasks));
        let Acceptance::JobRecord(change) =
            jobs::accept(&spec, 1_700_000_000_000, &PRODUCTION_LAYOUT, &jobs)
        else {
            panic!("description split into chunks")
        };
        assert_eq!(written(&change), expected("accepted", id));
        apply(&mut jobs, "accepted", 1);
        let job = jobs.get(&JobId::new(id)).unwrap();
        let completed: Vec<u32> = (0..tasks as u32).step_by(interval).collect();
        let change = jobs::complete(&JobId::new(id), job, &completed, 0, 5, &PRODUCTION_LAYOUT)
            .unwrap()
            .transaction;
        assert_eq!(written(&change), expected("some-done", id));
        apply(&mut jobs, "some-done", 2);
        let job = jobs.get(&JobId::new(id)).unwrap();
        let change = jobs::cancel(&JobId::new(id), job, 5, &PRODUCTION_LAYOUT).unwrap();
        assert_eq!(written(&change), expected("cancelled", id));
    }
}

#[test]
fn peer_messages_have_production_bytes() {
    let frames: Vec<&str> =
        lines().iter().filter(|line| line[0] == "frame").map(|line| line[2]).collect();
    assert_eq!(frames.len(), 5);
    for hex in frames {
        let message = mesh::decode_text(hex).unwrap();
        assert_eq!(mesh::encode_text(&message).unwrap(), hex, "{message:?}");
    }
    let last = mesh::decode_text(lines().last().unwrap()[2]).unwrap();
    let counts = vec![(JobId::new("wk-000412"), 16)];
    assert_eq!(last, mesh::PeerMessage::RunningTasks { token: FencingToken(41), counts });
}

/// A lease message that revokes or delegates hundreds of machines is relayed through the store in chunks that fit a
/// small value. If a chunk is missing, no message results.
#[test]
fn a_message_too_large_for_a_value_is_split_into_chunks() {
    let names = |from: u32| (from..from + 300).map(|n| MachineId::new(&format!("i-{n:06}")));
    let message = |number| mesh::PeerMessage::LeaseGrant {
        seq: 9,
        token: FencingToken(41),
        number,
        revoked: names(0).collect(),
        delegated: names(1000).collect(),
    };
    let mut assembler = mesh::ChunkAssembler::default();
    for (number, lose) in [(1, false), (2, true), (3, false)] {
        let text = mesh::encode_text(&message(number)).unwrap();
        let sent = mesh::split_into_chunks(&text, number, 1800);
        assert!(
            sent.len() > 5
                && sent.iter().all(|chunk| troutspindle::schema::encoding::json_len(chunk) <= 1800)
        );
        let sent = sent.iter().enumerate().filter(|(n, _)| !(lose && *n == 2));
        let received: Vec<String> = sent.filter_map(|(_, chunk)| assembler.push(chunk)).collect();
        let decoded: Vec<_> =
            received.iter().filter_map(|text| mesh::decode_text(text).ok()).collect();
        assert_eq!(decoded, if lose { vec![] } else { vec![message(number)] });
    }
}
