//! What the version in production wrote, read by this one, and the other way round. How the
//! fixtures were made stands in them; the types that production reads with are in `cluster.rs`.

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

/// While any controller of production may be there.
const LOW: Layout =
    Layout { format: 0, legacy_chunk_tasks: 16_384, max_operations: 12, value_max: 14_000 };

/// (name, key, value in hexadecimal) of each line.
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

fn take(jobs: &mut Jobs, name: &str, rev: u64) {
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
fn every_record_of_production_is_read_as_it_was_meant() {
    let mut jobs = Jobs::new(LOW.legacy_chunk_tasks);
    let (small, large) = (JobId::new("wk-1"), JobId::new("wk-2"));
    take(&mut jobs, "accepted", 1);
    let live = jobs.get(&small).unwrap().live().unwrap();
    assert_eq!((&*live.spec, live.accepted_ms), (&spec("wk-1", 20), 1_700_000_000_000));
    assert!(live.is_ready());
    take(&mut jobs, "some-done", 2);
    for (id, step, tasks) in [(&small, 7, 20), (&large, 9973, 100_000)] {
        let live = jobs.get(id).unwrap().live().unwrap();
        assert!((0..tasks).all(|task| live.is_completed(task) == (task % step == 0)), "{id}");
    }
    take(&mut jobs, "cancelled", 3);
    assert_eq!(
        jobs.get(&small).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Cancelled, completed_tasks: 3 })
    );
    assert_eq!(
        jobs.get(&large).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Cancelled, completed_tasks: 11 })
    );
    assert!(jobs.garbage(100).is_empty(), "production removes chunks itself");
    let mut jobs = Jobs::new(LOW.legacy_chunk_tasks);
    take(&mut jobs, "done", 1);
    assert_eq!(
        jobs.get(&small).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Done, completed_tasks: 20 })
    );

    let of = |key: &str| lines().into_iter().find(|line| line[1] == key).unwrap();
    let machine: MachineRecord = value(of("t/m/i-000231")[2]).deserialized().unwrap();
    assert_eq!((&*machine.address, machine.spot), ("10.1.0.232:9000", true));
    let leader: LeaderRecord = value(of(LEADER_KEY)[2]).deserialized().unwrap();
    assert_eq!(
        leader,
        LeaderRecord { controller: ControllerId::new("n-1"), token: FencingToken(41) }
    );
    assert_eq!(value(of(TOKEN_KEY)[2]).deserialized::<FencingToken>().unwrap(), FencingToken(41));
    let flavors: Vec<MachineType> = value(of(MACHINE_TYPES_KEY)[2]).deserialized().unwrap();
    assert_eq!((flavors.len(), flavors[0].spot_price), (1, 4.5));
}

/// While the cluster version is low, records have production's bytes to the letter.
#[test]
fn what_is_written_before_the_rise_is_what_production_writes() {
    let written = |change: &Transaction| -> Vec<(String, String)> {
        let puts = change.writes.iter().filter_map(|write| match write {
            Write::Put { key, data, .. } => Some((key.clone(), wire::hex(&wire::encode(data)))),
            Write::Delete { .. } => None,
        });
        puts.collect()
    };
    let made = |name: &str, id: &str| -> Vec<(String, String)> {
        let of = |key: &str| key.split('/').nth(2) == Some(id);
        let lines = lines().into_iter().filter(|line| line[0] == name && of(line[1]));
        lines.filter(|line| line[2] != "-").map(|line| (line[1].into(), line[2].into())).collect()
    };
    for (id, tasks, step) in [("wk-1", 20u64, 7), ("wk-2", 100_000, 9973)] {
        let mut jobs = Jobs::new(LOW.legacy_chunk_tasks);
        let spec = Arc::new(spec(id, tasks));
        let Acceptance::JobRecord(change) = jobs::accept(&spec, 1_700_000_000_000, &LOW, &jobs)
        else {
            panic!("in parts")
        };
        assert_eq!(written(&change), made("accepted", id));
        take(&mut jobs, "accepted", 1);
        let job = jobs.get(&JobId::new(id)).unwrap();
        let some: Vec<u32> = (0..tasks as u32).step_by(step).collect();
        let change = jobs::complete(&JobId::new(id), job, &some, 0, 5, &LOW).unwrap().transaction;
        assert_eq!(written(&change), made("some-done", id));
        take(&mut jobs, "some-done", 2);
        let job = jobs.get(&JobId::new(id)).unwrap();
        let change = jobs::cancel(&JobId::new(id), job, 5, &LOW).unwrap();
        assert_eq!(written(&change), made("cancelled", id));
    }
}

#[test]
fn frames_have_production_s_bytes() {
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

/// A grant that bars or lends hundreds of machines goes by way of the store in pieces, each of which
/// fits a small value; a piece that is missing gives no message.
#[test]
fn a_message_too_large_for_a_value_goes_in_pieces() {
    let names = |from: u32| (from..from + 300).map(|n| MachineId::new(&format!("i-{n:06}")));
    let message = |number| mesh::PeerMessage::LeaseGrant {
        seq: 9,
        token: FencingToken(41),
        number,
        revoked: names(0).collect(),
        delegated: names(1000).collect(),
    };
    let mut pieces = mesh::ChunkAssembler::default();
    for (number, lose) in [(1, false), (2, true), (3, false)] {
        let text = mesh::encode_text(&message(number)).unwrap();
        let sent = mesh::split_into_chunks(&text, number, 1800);
        assert!(
            sent.len() > 5
                && sent.iter().all(|p| troutspindle::schema::encoding::json_len(p) <= 1800)
        );
        let sent = sent.iter().enumerate().filter(|(n, _)| !(lose && *n == 2));
        let got: Vec<String> = sent.filter_map(|(_, piece)| pieces.push(piece)).collect();
        let whole: Vec<_> = got.iter().filter_map(|text| mesh::decode_text(text).ok()).collect();
        assert_eq!(whole, if lose { vec![] } else { vec![message(number)] });
    }
}
