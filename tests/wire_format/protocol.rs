//! Messages of users, workers, the cloud and the store.

use crate::golden_bytes;
use crate::sample::Sample;
use troutspindle::ids::{
    Attempt, ControllerId, FencingToken, JobId, LeaseId, MachineId, Revision, TaskId,
};
use troutspindle::wire::{
    self, CloudError, CommandBatch, CommitResponse, Heartbeat, JobKind, JobName, JobSpec,
    JobStatus, JobView, KeyValue, LeaseCreated, LeaseTtl, ListedMachine, ListedMachineState,
    MachineIds, MachinePage, MachineType, MachineTypes, NotLeader, Precondition, Priority,
    RangeResponse, RentalRequest, StoreValue, TaskState, TaskStatus, Transaction, WatchEvent,
    WatchResponse, WorkerCommand, Write,
};

pub(crate) fn task() -> TaskId {
    TaskId { job: JobId::new("wk-000412"), index: 17 }
}

pub(crate) fn attempt() -> Attempt {
    Attempt::new(FencingToken(41), 5)
}

pub(crate) fn job_spec() -> JobSpec {
    JobSpec {
        id: JobId::new("wk-000412"),
        class: "nightly".into(),
        team: "team-a".into(),
        kind: JobKind::Gang,
        priority: Priority::Low,
        tasks: 20,
        cpus: 1.5,
        gpus: 0.25,
        ram_gb: 3.1,
        image: "img-07".into(),
        image_gb: 1.2,
        machine_types: Some(vec!["g8".into(), "c16".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        expect_s: 40.5,
        checkpoint_s: 10.25,
        save_s: 2.75,
        due_s: Some(300.5),
        depends_on: Some(vec![JobId::new("wk-1"), JobId::new("wk-2")]),
    }
}

/// Returns a description without any optional field.
pub(crate) fn plain_job_spec() -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        priority: Priority::Production,
        one_zone: false,
        spread: true,
        spot: false,
        machine_types: None,
        zone: None,
        due_s: None,
        depends_on: None,
        ..job_spec()
    }
}

fn job_view(status: JobStatus) -> JobView {
    JobView { id: JobId::new("wk-000412"), status, done: 7, running: 3 }
}

fn reported(state: TaskState) -> TaskStatus {
    TaskStatus { task: task(), attempt: attempt(), state, exit_cause: None, saved: None }
}

pub(crate) fn heartbeat() -> Heartbeat {
    let failed = TaskStatus {
        exit_cause: Some("killed".into()),
        saved: Some(true),
        ..reported(TaskState::Exited)
    };
    let states = [TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Saving];
    Heartbeat {
        machine: MachineId::new("i-000231"),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: 300,
        seq: 70_000,
        token: FencingToken(41),
        notice_s: Some(12.5),
        tasks: states.map(reported).into_iter().chain([failed]).collect(),
    }
}

fn plain_heartbeat() -> Heartbeat {
    Heartbeat {
        address: String::new(),
        spot: false,
        notice_s: None,
        tasks: Vec::new(),
        ..heartbeat()
    }
}

pub(crate) fn commands() -> Vec<WorkerCommand> {
    let (task, attempt) = (task(), attempt());
    vec![
        WorkerCommand::Start { task: task.clone(), attempt },
        WorkerCommand::Stop { task: task.clone(), attempt, grace_s: 7.5 },
        WorkerCommand::Forget { task, attempt },
    ]
}

pub(crate) fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 96.5,
        gpus: 8.0,
        ram_gb: 768.25,
        cache_gb: 200.5,
        fetch_gb_per_s: 0.3,
        price: 10.1,
        spot_price: 4.5,
        boot_s: 75.25,
        zones: vec!["a".into(), "b".into()],
    }
}

fn plain_machine_type() -> MachineType {
    MachineType { cache_gb: 0.0, fetch_gb_per_s: 0.0, ..machine_type() }
}

pub(crate) fn rental_request() -> RentalRequest {
    RentalRequest {
        request_id: "r-41-7".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 50,
    }
}

pub(crate) fn machines() -> Vec<MachineId> {
    ["i-000231", "i-000232"].map(MachineId::new).to_vec()
}

fn listed(status: ListedMachineState) -> ListedMachine {
    ListedMachine {
        machine: MachineId::new("i-000231"),
        address: Some("10.1.0.232:9000".into()),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        status,
        age_s: 31.25,
    }
}

fn plain_listed() -> ListedMachine {
    ListedMachine { address: None, spot: false, age_s: 0.0, ..listed(ListedMachineState::Starting) }
}

pub(crate) fn transaction() -> Transaction {
    Transaction {
        preconditions: vec![
            Precondition { key: "t/j/wk-1".into(), rev: Revision(0) },
            Precondition { key: "t/a/leader".into(), rev: Revision(70_000) },
        ],
        writes: vec![
            Write::Put {
                key: "t/a/p/n-1".into(),
                data: StoreValue::Bool(true),
                lease: Some(LeaseId(9)),
            },
            Write::Put { key: "t/e/07".into(), data: StoreValue::from("text"), lease: None },
            Write::Delete { key: "t/d/wk-1/0".into() },
        ],
    }
}

fn row() -> KeyValue {
    KeyValue { key: "t/a/token".into(), data: StoreValue::from(41), rev: Revision(12) }
}

fn changes() -> Vec<WatchEvent> {
    let put = WatchEvent {
        put: Some("t/a/token".into()),
        delete: None,
        data: Some(StoreValue::from(41)),
        rev: Revision(12),
    };
    let delete =
        WatchEvent { put: None, delete: Some("t/a/leader".into()), data: None, rev: Revision(13) };
    vec![put, delete]
}

pub(crate) fn samples() -> Vec<Sample> {
    [users(), workers(), cloud(), store(), names()].into_iter().flatten().collect()
}

fn users() -> Vec<Sample> {
    let job_name = JobName { id: JobId::new("wk-000412") };
    let name_alone =
        StoreValue::Map(vec![(StoreValue::from("nameId"), StoreValue::from("wk-000412"))]);
    vec![
        Sample::cbor("job-spec", &job_spec()),
        Sample::cbor("job-spec-plain", &plain_job_spec()),
        Sample::cbor("shapes", &vec![JobKind::Array, JobKind::Service, JobKind::Gang]),
        Sample::cbor(
            "urgencies",
            &vec![Priority::Production, Priority::High, Priority::Normal, Priority::Low],
        ),
        Sample::read_by("job-name", wire::encode(&name_alone), &job_name, |bytes| {
            wire::decode::<JobName>(bytes).ok()
        }),
        Sample::cbor("job-view-queued", &job_view(JobStatus::Queued)),
        Sample::cbor("job-view-running", &job_view(JobStatus::Running)),
        Sample::cbor("job-view-done", &job_view(JobStatus::Done)),
        Sample::cbor("job-view-cancelled", &job_view(JobStatus::Cancelled)),
    ]
}

fn workers() -> Vec<Sample> {
    let response =
        CommandBatch { token: FencingToken(41), agent_epoch: None, commands: commands() };
    let command = CommandBatch { agent_epoch: Some(300), ..response.clone() };
    vec![
        Sample::cbor("report", &heartbeat()),
        Sample::cbor("report-plain", &plain_heartbeat()),
        Sample::cbor_without("report-least", &plain_heartbeat(), &["address", "recallS", "legs"]),
        Sample::cbor("orders-answer", &response),
        Sample::cbor("orders-command", &command),
        Sample::cbor("misdirected", &NotLeader { leader: "n-1".into() }),
    ]
}

fn cloud() -> Vec<Sample> {
    let page = MachinePage { machines: vec![listed(ListedMachineState::Running)], truncated: true };
    let states =
        [ListedMachineState::Starting, ListedMachineState::Running, ListedMachineState::Failed];
    let last = MachinePage { machines: states.map(listed).to_vec(), truncated: false };
    vec![
        Sample::cbor(
            "flavors",
            &MachineTypes { types: vec![machine_type(), plain_machine_type()] },
        ),
        Sample::cbor_without("flavor-least", &plain_machine_type(), &["cacheGb", "pullGbPerS"]),
        Sample::cbor("hire", &rental_request()),
        Sample::cbor("cloud-error", &CloudError { error: "no capacity".into() }),
        Sample::cbor("machine-names", &MachineIds { machines: machines() }),
        Sample::cbor("machine-page", &page),
        Sample::cbor("machine-page-states", &last),
        Sample::cbor_without("machine-page-least", &last, &["truncated"]),
        Sample::cbor_without("listed-least", &plain_listed(), &["address", "heldS"]),
    ]
}

fn store() -> Vec<Sample> {
    let committed = CommitResponse { rev: Revision(70_000), failed: vec!["t/j/wk-1".into()] };
    let page = RangeResponse { rows: vec![row()], truncated: true, rev: Revision(70_000) };
    let whole_page = RangeResponse { truncated: false, ..page.clone() };
    let committed_all = CommitResponse { failed: Vec::new(), ..committed.clone() };
    vec![
        Sample::cbor("transaction", &transaction()),
        Sample::cbor("committed", &committed),
        Sample::cbor_without("committed-least", &committed_all, &["failed"]),
        Sample::cbor("page", &page),
        Sample::cbor_without("page-least", &whole_page, &["truncated"]),
        Sample::cbor("news", &WatchResponse { rev: Revision(70_000), events: changes() }),
        Sample::cbor("lease-life", &LeaseTtl { ttl_ms: 6000 }),
        Sample::cbor("lease-name", &LeaseCreated { lease: LeaseId(9) }),
    ]
}

fn names() -> Vec<Sample> {
    vec![
        Sample::cbor("name-job", &JobId::new("wk-000412")),
        Sample::cbor("name-machine", &MachineId::new("i-000231")),
        Sample::cbor("name-controller", &ControllerId::new("n-1")),
        Sample::cbor("name-task", &task()),
        Sample::cbor("number-token", &FencingToken(41)),
        Sample::cbor("number-revision", &Revision(70_000)),
        Sample::cbor("number-attempt", &attempt()),
        Sample::cbor("number-lease", &LeaseId(9)),
    ]
}

/// A peer may write whole amounts as integers, and fields that this version does not know.
#[test]
fn whole_amounts_and_unknown_fields_are_read() {
    let as_integer = |value: &StoreValue| {
        value.as_float().map_or_else(|| value.clone(), |_| StoreValue::from(4))
    };
    let StoreValue::Map(fields) = wire::decode(&golden_bytes("flavor-least")).unwrap() else {
        panic!()
    };
    let fields = fields.iter().map(|(key, value)| (key.clone(), as_integer(value)));
    let fields = fields.chain([(StoreValue::from("later"), StoreValue::from("x"))]).collect();
    let read: MachineType = wire::decode(&wire::encode(&StoreValue::Map(fields))).unwrap();
    let with_fours =
        MachineType { cpus: 4.0, gpus: 4.0, ram_gb: 4.0, boot_s: 4.0, ..plain_machine_type() };
    assert_eq!(read, MachineType { price: 4.0, spot_price: 4.0, ..with_fours });
}
