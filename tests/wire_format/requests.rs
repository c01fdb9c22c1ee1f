//! Requests to the state service and the cloud, and the paths under which controllers are asked.

use crate::protocol::{hire, machines, transaction};
use crate::sample::Sample;
use std::time::Duration;
use troutspindle::api::{Route, route};
use troutspindle::cloud::{CloudRequest, MachinePool};
use troutspindle::http::{Method, Request};
use troutspindle::ids::{JobId, LeaseId, Revision};
use troutspindle::store::StoreRequest;

/// Method and target in a line, and the body behind it.
fn request(name: &'static str, request: &Request) -> Sample {
    let method = match request.method {
        Method::Get => "GET",
        Method::Post => "POST",
        Method::Delete => "DELETE",
        Method::Other => panic!("{name} has a method of its own"),
    };
    let line = format!("{method} {}\n", request.target);
    Sample::written(name, [line.as_bytes(), &request.body].concat())
}

fn state(name: &'static str, call: &StoreRequest) -> Sample {
    request(name, &call.to_http().request)
}

fn cloud(name: &'static str, call: &CloudRequest) -> Sample {
    request(name, &call.request())
}

pub(crate) fn samples() -> Vec<Sample> {
    let follow = StoreRequest::Watch { after: Revision(70_000), wait: Duration::from_millis(2500) };
    let kind = MachinePool { flavor: 1, zone: 2, spot: true };
    vec![
        state("state-commit", &StoreRequest::Commit(transaction())),
        state("state-follow", &follow),
        state("state-range-first", &StoreRequest::Range { after: None }),
        state("state-range-next", &StoreRequest::Range { after: Some("t/j/wk-1".into()) }),
        state("state-new-lease", &StoreRequest::GrantLease(Duration::from_millis(6000))),
        state("state-touch", &StoreRequest::KeepAlive(LeaseId(9))),
        state("state-drop-lease", &StoreRequest::RevokeLease(LeaseId(9))),
        cloud("cloud-flavors", &CloudRequest::MachineTypes),
        cloud("cloud-hire", &CloudRequest::ScaleOut(kind, hire())),
        cloud("cloud-delete", &CloudRequest::ScaleIn(machines())),
        cloud("cloud-list-first", &CloudRequest::List { after: String::new() }),
        cloud("cloud-list-next", &CloudRequest::List { after: "i-000231".into() }),
    ]
}

#[test]
fn every_path_leads_where_it_always_did() {
    let ask =
        |method, target: &str| route(&Request { method, target: target.into(), body: Vec::new() });
    let job = || JobId::new("wk-000412");
    assert_eq!(ask(Method::Get, "/up"), Route::Health);
    assert_eq!(ask(Method::Post, "/hello"), Route::Heartbeat);
    assert_eq!(ask(Method::Post, "/api/jobs"), Route::Submit);
    assert_eq!(ask(Method::Get, "/api/jobs/wk-000412"), Route::Poll(job()));
    assert_eq!(ask(Method::Post, "/api/jobs/wk-000412/abort"), Route::Cancel(job()));
    assert_eq!(ask(Method::Post, "/ops/jobs/at-risk"), Route::JobsAtRisk);
    assert_eq!(ask(Method::Post, "/ops/jobs/starving"), Route::FairShareReport);
    assert_eq!(ask(Method::Post, "/ops/drain"), Route::Drain);
    assert_eq!(ask(Method::Post, "/ops/undrain"), Route::Undrain);
    assert_eq!(ask(Method::Post, "/ops/drains"), Route::Drains);
    assert_eq!(ask(Method::Get, "/ops/drains"), Route::Unknown);
    assert_eq!(ask(Method::Get, "/hello"), Route::WrongMethod);
}
