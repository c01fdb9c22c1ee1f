//! Unit tests of the scheduler, by subject.

mod best_effort;
mod cancellation;
mod elastic_width;
mod failover;
mod failures;
mod fair_share;
mod fixture;
mod gangs;
mod holds;
mod job_machines;
mod limits;
mod machines;
mod pacing;
mod preemption;
mod runtime_prediction;
mod simulated_workers;
mod suspected_machines;
