//! Routing of requests to operations by method and path.

use crate::admission::RequestClass;
use crate::http::{Method, Request};
use crate::ids::JobId;
use troutspindle_protocol::operator_api;

/// Allowed number of digits in a job id.
const ID_DIGITS: std::ops::RangeInclusive<usize> = 1..=40;
const JOBS_PATH: &str = "/api/jobs";

/// Operation of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Route {
    /// Health check of the process.
    Health,
    /// A worker's heartbeat.
    Heartbeat,
    /// Submission of a job.
    Submit,
    /// Query of a job's state.
    Poll(JobId),
    /// Cancellation of a job.
    Cancel(JobId),
    /// Operators' query of the jobs that are at risk of missing their due time.
    JobsAtRisk,
    /// Operators' query of the jobs that starve.
    FairShareReport,
    /// Operators' request to drain a machine, zone or controller.
    Drain,
    /// Operators' request to withdraw a drain.
    Undrain,
    /// Operators' query of all drains.
    Drains,
    /// The path does not exist.
    Unknown,
    /// The path exists, but not for this method.
    WrongMethod,
}

/// Returns the operation of a request.
pub fn route(request: &Request) -> Route {
    let path = request.target.split('?').next().unwrap_or("");
    let with = |method, route| if request.method == method { route } else { Route::WrongMethod };
    // Operators' paths can be disabled and then do not exist, so a wrong method must not reveal them.
    let operators = |route| if request.method == Method::Post { route } else { Route::Unknown };
    match path {
        "/up" => with(Method::Get, Route::Health),
        "/hello" => with(Method::Post, Route::Heartbeat),
        JOBS_PATH => with(Method::Post, Route::Submit),
        operator_api::AT_RISK_PATH => operators(Route::JobsAtRisk),
        operator_api::STARVING_PATH => operators(Route::FairShareReport),
        operator_api::DRAIN_PATH => operators(Route::Drain),
        operator_api::UNDRAIN_PATH => operators(Route::Undrain),
        operator_api::DRAINS_PATH => operators(Route::Drains),
        _ => job_route(path, with),
    }
}

fn job_route(path: &str, with: impl Fn(Method, Route) -> Route) -> Route {
    let job = path.strip_prefix(JOBS_PATH).and_then(|path| path.strip_prefix('/'));
    let Some(job) = job else { return Route::Unknown };
    match job.split_once('/') {
        None if valid_id(job) => with(Method::Get, Route::Poll(JobId::new(job))),
        Some((id, "abort")) if valid_id(id) => with(Method::Post, Route::Cancel(JobId::new(id))),
        _ => Route::Unknown,
    }
}

/// Returns the class by which admission prioritizes a request, from its method and path alone.
pub fn request_class(request: &Request) -> RequestClass {
    match route(request) {
        Route::Poll(_) => RequestClass::Poll,
        Route::Submit => RequestClass::Submission,
        _ => RequestClass::Critical,
    }
}

/// Returns whether a text is a valid job id, such as `wk-000412`.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("wk-").is_some_and(|digits| {
        ID_DIGITS.contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}
