use crate::api::validation::{Rejection, check_runnable};
use crate::api::{Api, Route, route};
use crate::clock::WallClock;
use crate::http::{Method, Request, Response};
use crate::ids::{ControllerId, JobId, Revision};
use crate::jobs;
use crate::schema::records::{FORMAT, VersionRecord};
use crate::schema::{encoding, keys};
use crate::store::{
    MACHINE_TYPES_KEY, OutgoingRequest, StoreClient, StoreEvent, StoreRequest, StoreResponse,
    WriteOrigin,
};
use crate::wire::{self, JobKind, JobSpec, StoreValue};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn route_accepts_only_paths_and_ids_of_the_protocol() {
    let at =
        |method, target: &str| route(&Request { method, target: target.into(), body: Vec::new() });
    assert_eq!(at(Method::Get, "/up"), Route::Health);
    assert_eq!(at(Method::Post, "/up"), Route::WrongMethod);
    assert_eq!(at(Method::Get, "/api/jobs/wk-7"), Route::Poll(JobId::new("wk-7")));
    assert_eq!(at(Method::Post, "/api/jobs/wk-7/abort"), Route::Cancel(JobId::new("wk-7")));
    for path in ["/", "/api/jobs/", "/api/jobs/wk-", "/api/jobs/wk-1/x", "/api/jobs/wk-1%2f"] {
        assert_eq!(at(Method::Get, path), Route::Unknown, "{path}");
    }
}

/// The API with a store that executes every request and contains only what the API has committed.
struct TestApi {
    api: Api,
    store: StoreClient,
    rev: u64,
    now: Instant,
    syncs: u32,
}

impl TestApi {
    /// Creates an API in a cluster of two controllers, of which `upgraded` declare that they read the newest format.
    fn new(upgraded: usize) -> TestApi {
        let now = Instant::now();
        let settings =
            Arc::new(crate::settings::fixtures::settings(r#"[{"name":"t","cpus_max":8.0}]"#));
        let names = ["n-0", "n-1"].map(ControllerId::new).to_vec();
        let limits = settings.platform.params.state.effective();
        let mut store = StoreClient::new(limits, names.clone(), 1, now);
        store.poll(now);
        let id = store.next_request().unwrap().id;
        let row = |key: String, data| wire::KeyValue { key, data, rev: Revision(1) };
        let machine_types = encoding::to_value(&vec![crate::settings::fixtures::machine_type()]);
        let version = VersionRecord { format: FORMAT, legacy_chunk_tasks: 16_384 };
        let versions = names.iter().take(upgraded);
        let versions = versions.map(|n| row(keys::version_key(n), encoding::to_value(&version)));
        let mut rows = vec![row(MACHINE_TYPES_KEY.into(), machine_types)];
        rows.extend(versions);
        let page = wire::RangeResponse { rows, truncated: false, rev: Revision(1) };
        store.on_response(id, StoreResponse::Range(page), now);
        let api = Api::new(settings, WallClock { at: now, ms: 5 }).unwrap();
        TestApi { api, store, rev: 1, now, syncs: 0 }
    }

    fn submit_body(&mut self, body: &[u8]) -> Response {
        let answer = self.api.on_request(10, Route::Submit, body, &mut self.store, self.now);
        if let Some(answer) = answer {
            return answer;
        }
        loop {
            self.now += Duration::from_millis(500);
            self.store.poll(self.now);
            while let Some(OutgoingRequest { id, request }) = self.store.next_request() {
                let response = match request {
                    StoreRequest::Watch { wait, .. } if !wait.is_zero() => {
                        StoreResponse::Unavailable
                    }
                    StoreRequest::Commit(transaction) => {
                        assert!(transaction.writes.len() <= 12);
                        self.rev += 1;
                        StoreResponse::Committed(Revision(self.rev))
                    }
                    _ => {
                        self.syncs += 1;
                        let rev = Revision(self.rev);
                        StoreResponse::Watch(wire::WatchResponse { rev, events: vec![] })
                    }
                };
                self.store.on_response(id, response, self.now);
            }
            while let Some(event) = self.store.next_event() {
                let (api, store) = (&mut self.api, &mut self.store);
                let answer = match event {
                    StoreEvent::Synced(10) => api.on_synced(10, store, self.now),
                    StoreEvent::WriteSettled(WriteOrigin::User(10), outcome) => {
                        api.on_outcome(10, outcome, store, self.now)
                    }
                    _ => None,
                };
                if let Some(answer) = answer {
                    return answer;
                }
            }
        }
    }

    fn submit(&mut self, id: &str, kind: JobKind, depends_on: &[&str]) -> u16 {
        let depends_on = Some(depends_on.iter().map(|id| JobId::new(id)).collect());
        let spec = JobSpec { kind, depends_on, ..jobs::fixtures::job_spec(id, 2) };
        self.submit_body(&wire::encode(&spec)).status
    }
}

#[test]
fn submission_with_dependencies_is_accepted_only_if_they_are_accepted_jobs() {
    let mut api = TestApi::new(2);
    assert_eq!(api.submit("wk-1", JobKind::Array, &[]), 201);
    assert_eq!(api.submit("wk-2", JobKind::Service, &[]), 201);
    assert_eq!(api.submit("wk-3", JobKind::Array, &["wk-1", "wk-1"]), 201);
    // Committed without a prior read; the response then waits for a read of its dependencies.
    let synced = api.syncs;
    assert_eq!(synced, 1);
    let job = api.store.cache.jobs.get(&JobId::new("wk-3")).unwrap().live().unwrap();
    assert_eq!((job.depends_on().len(), job.unfinished_dependencies()), (1, 1));
    // A job never accepted, the job itself, a service: rejected permanently, but only after a read of the store.
    for (n, depends_on) in ["wk-9", "wk-4", "wk-2"].into_iter().enumerate() {
        assert_eq!(api.submit("wk-4", JobKind::Array, &["wk-1", depends_on]), 422, "{depends_on}");
        assert_eq!(api.syncs, synced + n as u32 + 1);
    }
    assert_eq!(api.submit("wk-4", JobKind::Array, &["job-1"]), 400);
    // A retry returns the job's state even if its content differs.
    assert_eq!(api.submit("wk-3", JobKind::Array, &["wk-9"]), 200);
    // Nearly as many dependencies as fit a request body; the record is far larger than a value in the store.
    let dependencies: Vec<String> = (0..3000).map(|n| format!("wk-{}", n + 100)).collect();
    for id in &dependencies {
        assert_eq!(api.submit(id, JobKind::Array, &[]), 201);
    }
    let names: Vec<&str> = dependencies.iter().map(String::as_str).collect();
    assert_eq!(api.submit("wk-5", JobKind::Array, &names), 201);
}

#[test]
fn malformed_dependencies_are_rejected_and_null_means_no_dependencies() {
    let mut api = TestApi::new(2);
    let spec = jobs::fixtures::job_spec("wk-1", 2);
    let StoreValue::Map(fields) = encoding::to_value(&spec) else { panic!() };
    let with = |depends_on: StoreValue| {
        let fields = fields.iter().cloned().chain([(StoreValue::from("waitsOn"), depends_on)]);
        wire::encode(&StoreValue::Map(fields.collect()))
    };
    let malformed = [
        StoreValue::from("wk-2"),
        StoreValue::from(7),
        StoreValue::Array(vec![StoreValue::from(7)]),
        StoreValue::Array(vec![StoreValue::Null]),
        StoreValue::Map(vec![]),
    ];
    for depends_on in malformed {
        assert_eq!(api.submit_body(&with(depends_on.clone())).status, 400, "{depends_on:?}");
    }
    assert_eq!(api.submit_body(&with(StoreValue::Null)).status, 201);
    assert_eq!(api.submit_body(&with(StoreValue::Array(vec![]))).status, 200);
    assert_eq!(api.submit_body(&with(StoreValue::from(7))).status, 200);
}

/// A leader of the previous version ignores dependencies and would start the job at once.
#[test]
fn submission_with_dependencies_gets_503_while_a_controller_may_run_the_previous_version() {
    let mut api = TestApi::new(1);
    assert_eq!(api.submit("wk-1", JobKind::Array, &[]), 201);
    let spec = JobSpec {
        depends_on: Some(vec![JobId::new("wk-1")]),
        ..jobs::fixtures::job_spec("wk-2", 2)
    };
    let answer = api.submit_body(&wire::encode(&spec));
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s.is_some());
    assert!(api.store.cache.jobs.get(&JobId::new("wk-2")).is_none());
}

/// Guest teams have neither quota nor limit. Taking their zero as a limit would reject each of their jobs.
#[test]
fn team_without_a_limit_may_run_any_job_that_fits_a_machine() {
    let teams = r#"[{"name":"t","cpus":2.0,"cpus_max":8.0},{"name":"guest"}]"#;
    let settings = crate::settings::fixtures::settings(teams);
    let machine_types = [crate::settings::fixtures::machine_type()];
    let rejection = |team: &str, cpus: f64, tasks: u64| {
        let (team, kind) = (team.to_owned(), JobKind::Service);
        let spec = JobSpec { team, cpus, kind, ..jobs::fixtures::job_spec("wk-1", tasks) };
        check_runnable(&spec, &settings, &machine_types).err()
    };
    assert_eq!(rejection("guest", 4.0, 100_000), None);
    assert_eq!(rejection("guest", 17.0, 1), Some(Rejection::FitsNoMachineType));
    assert_eq!(rejection("t", 4.0, 2), None);
    assert_eq!(rejection("t", 4.0, 3), Some(Rejection::BeyondTeamLimit));
    assert_eq!(rejection("nobody", 1.0, 1), Some(Rejection::UnknownTeam));
}

/// Kind of a field of `POST /api/jobs`, after the table of the protocol.
#[derive(Clone, Copy, PartialEq)]
enum Field {
    Id,
    Name,
    /// A text that may be empty.
    Text,
    Word,
    Flag,
    Count,
    Amount,
    MayBeNull,
}

const FIELDS: [(&str, Field); 20] = [
    ("nameId", Field::Id),
    ("runKind", Field::Name),
    ("owner", Field::Name),
    ("shape", Field::Word),
    ("urgency", Field::Word),
    ("legs", Field::Count),
    ("vcpus", Field::Amount),
    ("cards", Field::Amount),
    ("ramGb", Field::Amount),
    ("bundle", Field::Text),
    ("imageGb", Field::Amount),
    ("flavors", Field::MayBeNull),
    ("hall", Field::MayBeNull),
    ("samePlace", Field::Flag),
    ("spread", Field::Flag),
    ("lendable", Field::Flag),
    ("expectS", Field::Amount),
    ("snapshotEveryS", Field::Amount),
    ("snapshotS", Field::Amount),
    ("dueS", Field::MayBeNull),
];

/// Returns forbidden values of the field's type or of a similar type.
fn invalid_values(name: &str, field: Field) -> Vec<StoreValue> {
    let amounts = [-1.0, 1e300, f64::NAN, f64::INFINITY, f64::NEG_INFINITY].map(StoreValue::from);
    match field {
        Field::Id => ["", "1", "wk-", "wk-x", "wk-1 ", "WK-1"].map(StoreValue::from).to_vec(),
        Field::Name => {
            vec![StoreValue::from(""), StoreValue::from(7), StoreValue::from("x".repeat(1000))]
        }
        Field::Text => vec![StoreValue::from(7), StoreValue::from("x".repeat(1000))],
        Field::Word => ["", "other"].map(StoreValue::from).to_vec(),
        Field::Flag => vec![StoreValue::from(1), StoreValue::from("true")],
        Field::Count => {
            vec![
                StoreValue::from(0),
                StoreValue::from(-1),
                StoreValue::from(1.5),
                StoreValue::from(100_001),
            ]
        }
        Field::Amount => [&amounts[..], &[StoreValue::from("1")]].concat(),
        Field::MayBeNull if name == "dueS" => amounts.to_vec(),
        Field::MayBeNull => vec![StoreValue::from(7)],
    }
}

/// The protocol says: "400: malformed: not CBOR, not a map, or a field is missing or invalid." "Any field that may be
/// null may also be omitted." "Unknown fields must be ignored by receivers." "Retrying an accepted job returns 200 with
/// the job's current state". The last rule applies whatever the retry contains.
#[test]
fn malformed_submission_is_rejected_unless_its_job_is_known() {
    let whole = jobs::fixtures::job_spec("wk-1", 2);
    let StoreValue::Map(fields) = encoding::to_value(&whole) else { panic!() };
    // `None` removes the field.
    let with = |id: &str, name: &str, value: Option<StoreValue>| {
        let mut fields = fields.clone();
        fields.retain(|(key, _)| !["nameId", name].contains(&key.as_text().unwrap()));
        if name != "nameId" {
            fields.push((StoreValue::from("nameId"), StoreValue::from(id)));
        }
        fields.extend(value.map(|value| (StoreValue::from(name), value)));
        wire::encode(&StoreValue::Map(fields))
    };
    let mut api = TestApi::new(2);
    let mut malformed_count = 0;
    for (name, field) in FIELDS {
        let mut values =
            vec![Some(StoreValue::Array(vec![StoreValue::Null])), Some(StoreValue::Map(vec![]))];
        if field == Field::MayBeNull {
            let id = format!("wk-9{malformed_count}");
            assert_eq!(
                api.submit_body(&with(&id, name, Some(StoreValue::Null))).status,
                201,
                "{name}: null"
            );
            assert_eq!(
                api.submit_body(&with(&format!("{id}0"), name, None)).status,
                201,
                "{name}: none"
            );
        } else {
            values.extend([None, Some(StoreValue::Null)]);
        }
        values.extend(invalid_values(name, field).into_iter().map(Some));
        for value in values {
            let answer = api.submit_body(&with("wk-1", name, value.clone()));
            assert_eq!(answer.status, 400, "{name}: {value:?}");
            malformed_count += 1;
        }
    }
    assert!(malformed_count > 100 && api.store.cache.jobs.get(&JobId::new("wk-1")).is_none());
    for body in [&b""[..], b"{", b"\xff", &wire::encode(&StoreValue::from("wk-1")), b"\x80"] {
        assert_eq!(api.submit_body(body).status, 400);
    }
    let mut with_trailing_byte = wire::encode(&whole);
    with_trailing_byte.push(0);
    assert_eq!(api.submit_body(&with_trailing_byte).status, 400, "more than one item");
    assert_eq!(api.submit_body(&with("wk-1", "colour", Some(StoreValue::from("red")))).status, 201);
    // The job is accepted by now, so the same malformed submissions return its state.
    for (name, _) in FIELDS.into_iter().skip(1) {
        for value in [None, Some(StoreValue::Map(vec![]))] {
            assert_eq!(api.submit_body(&with("wk-1", name, value)).status, 200, "{name}");
        }
    }
}

/// The protocol says: "422: can never run: unknown team, a task fits no allowed machine type, or the job needs
/// more than the team's limit (array: one task; service: all tasks)."
#[test]
fn job_that_can_never_run_is_rejected_unless_it_is_known() {
    let runnable = jobs::fixtures::job_spec("wk-1", 2);
    let spec = || JobSpec { team: "t".into(), ..runnable.clone() };
    let never_runnable = [
        JobSpec { team: "nobody".into(), ..spec() },
        JobSpec { cpus: 9.0, ..spec() },
        JobSpec { gpus: 1.0, ..spec() },
        JobSpec { ram_gb: 1e6, ..spec() },
        JobSpec { machine_types: Some(vec![]), ..spec() },
        JobSpec { machine_types: Some(vec!["unknown".into()]), ..spec() },
        JobSpec { zone: Some("nowhere".into()), ..spec() },
        JobSpec { kind: JobKind::Service, tasks: 9, cpus: 1.0, ..spec() },
    ];
    let mut api = TestApi::new(2);
    for spec in &never_runnable {
        assert_eq!(api.submit_body(&wire::encode(spec)).status, 422, "{spec:?}");
    }
    assert_eq!(
        api.submit_body(&wire::encode(&JobSpec { tasks: 9, cpus: 1.0, ..spec() })).status,
        201
    );
    for spec in &never_runnable {
        assert_eq!(api.submit_body(&wire::encode(spec)).status, 200, "known: {spec:?}");
    }
}
