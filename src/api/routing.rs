//! Which operation a request asks for, by its method and path.

use crate::admission::RequestClass;
use crate::http::{Method, Request};
use crate::ids::JobId;
use troutspindle_protocol::operator_api;

/// The digits of a job's id.
const ID_DIGITS: std::ops::RangeInclusive<usize> = 1..=40;
const JOBS_PATH: &str = "/api/jobs";

/// The operation that a request asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Route {
    /// Whether the process is up.
    Health,
    /// A worker's heartbeat.
    Heartbeat,
    /// A user submits a job.
    Submit,
    /// A user asks for a job's state.
    Poll(JobId),
    /// A user cancels a job.
    Cancel(JobId),
    /// Operators ask which jobs are at risk of missing their due time.
    JobsAtRisk,
    /// Operators ask which jobs starve.
    FairShareReport,
    /// Operators drain something.
    Drain,
    /// Operators take a drain back.
    Undrain,
    /// Operators ask for all drains.
    Drains,
    /// There is nothing at this path.
    Unknown,
    /// There is something at this path for another method.
    WrongMethod,
}

/// The operation that a request asks for.
pub fn route(request: &Request) -> Route {
    let path = request.target.split('?').next().unwrap_or("");
    let with = |method, route| if request.method == method { route } else { Route::WrongMethod };
    // Operators' paths that are disabled don't exist, whatever is asked of them.
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

/// How much a request is needed by whoever sent it, by its path alone.
pub fn request_class(request: &Request) -> RequestClass {
    match route(request) {
        Route::Poll(_) => RequestClass::Poll,
        Route::Submit => RequestClass::Submission,
        _ => RequestClass::Critical,
    }
}

/// Whether a text is a job's id, as in `wk-000412`.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("wk-").is_some_and(|digits| {
        ID_DIGITS.contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}
