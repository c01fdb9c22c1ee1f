//! JSON requests and responses of the operators' API, and the demand log.

use crate::golden_bytes;
use crate::sample::Sample;
use std::collections::BTreeMap;
use troutspindle::ids::JobId;
use troutspindle_protocol::operator_api::{
    DEMAND_FIELD, DemandLog, Drain, DrainKind, DrainRequest, Drains, FairShareReport,
    GroupBelowFloor, GroupDemand, JobAtRisk, JobsAtRisk, OperatorQuery, UndrainRequest,
};
use troutspindle_runtime_estimates::Grade;

const KEY: &str = "a key of sixteen or more";

fn drain_request(kind: DrainKind) -> DrainRequest {
    DrainRequest {
        key: KEY.into(),
        kind,
        name: "a".into(),
        by_s: Some(600.5),
        author: "ana".into(),
        reason: "cooling".into(),
    }
}

fn drain() -> Drain {
    Drain {
        kind: DrainKind::Machine,
        name: "i-000231".into(),
        by_in_s: Some(-1.5),
        since_s: 30.25,
        author: "ana".into(),
        reason: "cooling".into(),
        remaining: Some(7),
        stuck: Some(2),
    }
}

fn plain_drain() -> Drain {
    Drain { kind: DrainKind::Controller, by_in_s: None, remaining: None, stuck: None, ..drain() }
}

fn at_risk() -> JobsAtRisk {
    let job = JobAtRisk {
        job: JobId::new("wk-000412"),
        class: "nightly".into(),
        team: "team-a".into(),
        late_probability: 0.75,
        due_in_s: 300.5,
        done_in_s: 400.25,
        done_tasks: 7,
        tasks: 20,
        grade: "sure".into(),
    };
    JobsAtRisk {
        leader: "n-1".into(),
        jobs: vec![job],
        warned: 4,
        warned_late: 3,
        warned_in_time: 2,
        late_unwarned: 1,
    }
}

fn fair_share_report() -> FairShareReport {
    let group = GroupBelowFloor {
        class: "nightly".into(),
        team: "team-a".into(),
        allocated: 1.5,
        floor: 2.5,
        needed: 3.5,
        waits_for: BTreeMap::from([("room".into(), 12), ("its team's limit".into(), 3)]),
    };
    FairShareReport {
        leader: "n-1".into(),
        scarce_for_s: Some(60.5),
        machines: 31.25,
        exhausted: true,
        groups: vec![group],
    }
}

fn demand() -> DemandLog {
    let group = GroupDemand {
        class: "nightly".into(),
        team: "team-a".into(),
        service: true,
        ordinary: false,
        allocated: 1.5,
        waiting: 2.5,
        arrived: 3.5,
        floor: 4.5,
    };
    DemandLog {
        token: 41,
        at_s: 60.5,
        ordinary: 30.25,
        spot: 12.75,
        exhausted: true,
        scarce: false,
        groups: vec![group],
    }
}

pub(crate) fn samples() -> Vec<Sample> {
    let undrain =
        UndrainRequest { key: KEY.into(), kind: DrainKind::Controller, name: "n-1".into() };
    vec![
        Sample::json("ops-question", &OperatorQuery { key: KEY.into() }),
        Sample::json("ops-drain-zone", &drain_request(DrainKind::Zone)),
        Sample::json("ops-drain-machine", &drain_request(DrainKind::Machine)),
        Sample::json("ops-drain-controller", &drain_request(DrainKind::Controller)),
        Sample::json("ops-undrain", &undrain),
        Sample::json("ops-drains", &Drains { drains: vec![drain(), plain_drain()] }),
        Sample::json("ops-drains-none", &Drains::default()),
        Sample::json("ops-at-risk", &at_risk()),
        Sample::json("ops-at-risk-none", &JobsAtRisk::default()),
        Sample::json("ops-starving", &fair_share_report()),
        Sample::json("ops-starving-none", &FairShareReport::default()),
        Sample::json("ops-demand", &demand()),
        Sample::json("ops-demand-none", &DemandLog::default()),
        Sample::written("ops-demand-field", DEMAND_FIELD),
    ]
}

#[test]
fn a_drain_request_without_time_author_and_reason_is_accepted() {
    let mut request: serde_json::Value =
        serde_json::from_slice(&golden_bytes("ops-drain-zone")).unwrap();
    let fields = request.as_object_mut().unwrap();
    assert!(["by_s", "author", "reason"].iter().all(|field| fields.remove(*field).is_some()));
    let request: DrainRequest = serde_json::from_value(request).unwrap();
    assert_eq!(
        (request.by_s, request.author, request.reason),
        (None, String::new(), String::new())
    );
}

/// Responses contain the grade as the lower-case name of the variant.
#[test]
fn grades_keep_their_names_in_responses() {
    let shown = [Grade::Unknown, Grade::Thin, Grade::Sure].map(|grade| format!("{grade:?}"));
    assert_eq!(shown.map(|name| name.to_lowercase()), ["unknown", "thin", "sure"]);
}
