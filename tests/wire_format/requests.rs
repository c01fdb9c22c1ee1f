//! Requests to the store and the cloud, and the paths that controllers serve.

use crate::protocol::{machines, rental_request, transaction};
use crate::sample::Sample;
use std::time::Duration;
use troutspindle::api::{Route, route};
use troutspindle::cloud::{CloudRequest, MachinePool};
use troutspindle::http::{Method, Request};
use troutspindle::ids::{JobId, LeaseId, Revision};
use troutspindle::store::StoreRequest;

/// Samples a request as a line with method and target, followed by the body.
fn request(name: &'static str, request: &Request) -> Sample {
    let method = match request.method {
        Method::Get => "GET",
        Method::Post => "POST",
        Method::Delete => "DELETE",
        Method::Other => panic!("{name} has an unsupported method"),
    };
    let line = format!("{method} {}\n", request.target);
    Sample::written(name, [line.as_bytes(), &request.body].concat())
}

fn store(name: &'static str, call: &StoreRequest) -> Sample {
    request(name, &call.to_http().request)
}

fn cloud(name: &'static str, call: &CloudRequest) -> Sample {
    request(name, &call.request())
}

pub(crate) fn samples() -> Vec<Sample> {
    let watch = StoreRequest::Watch { after: Revision(70_000), wait: Duration::from_millis(2500) };
    let pool = MachinePool { machine_type: 1, zone: 2, spot: true };
    vec![
        store("state-commit", &StoreRequest::Commit(transaction())),
        store("state-follow", &watch),
        store("state-range-first", &StoreRequest::Range { after: None }),
        store("state-range-next", &StoreRequest::Range { after: Some("t/j/wk-1".into()) }),
        store("state-new-lease", &StoreRequest::GrantLease(Duration::from_millis(6000))),
        store("state-touch", &StoreRequest::KeepAlive(LeaseId(9))),
        store("state-drop-lease", &StoreRequest::RevokeLease(LeaseId(9))),
        cloud("cloud-flavors", &CloudRequest::MachineTypes),
        cloud("cloud-hire", &CloudRequest::ScaleOut(pool, rental_request())),
        cloud("cloud-delete", &CloudRequest::ScaleIn(machines())),
        cloud("cloud-list-first", &CloudRequest::List { after: String::new() }),
        cloud("cloud-list-next", &CloudRequest::List { after: "i-000231".into() }),
    ]
}

#[test]
fn every_path_keeps_its_route() {
    let route_of =
        |method, target: &str| route(&Request { method, target: target.into(), body: Vec::new() });
    let job = || JobId::new("wk-000412");
    assert_eq!(route_of(Method::Get, "/up"), Route::Health);
    assert_eq!(route_of(Method::Post, "/hello"), Route::Heartbeat);
    assert_eq!(route_of(Method::Post, "/api/jobs"), Route::Submit);
    assert_eq!(route_of(Method::Get, "/api/jobs/wk-000412"), Route::Poll(job()));
    assert_eq!(route_of(Method::Post, "/api/jobs/wk-000412/abort"), Route::Cancel(job()));
    assert_eq!(route_of(Method::Post, "/ops/jobs/at-risk"), Route::JobsAtRisk);
    assert_eq!(route_of(Method::Post, "/ops/jobs/starving"), Route::FairShareReport);
    assert_eq!(route_of(Method::Post, "/ops/drain"), Route::Drain);
    assert_eq!(route_of(Method::Post, "/ops/undrain"), Route::Undrain);
    assert_eq!(route_of(Method::Post, "/ops/drains"), Route::Drains);
    assert_eq!(route_of(Method::Get, "/ops/drains"), Route::Unknown);
    assert_eq!(route_of(Method::Get, "/hello"), Route::WrongMethod);
}
