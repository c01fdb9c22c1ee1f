//! Predicts run times of tasks from earlier runs, with the uncertainty of each prediction.
//!
//! Pure: no I/O, no clock. Run times are modelled as log-normal: a run of a job has a median, and its tasks scatter
//! around it. [`History`] contains the last runs of similar jobs, [`RunObservations`] the run times seen so far in the
//! current run. [`Learner`] selects the history for a job. [`HistoryCache`] decides what is written to the store and
//! when, so that no observation counts twice. The design decisions are explained in `docs/estimates/design.md`.
#![forbid(unsafe_code)]

pub mod constants;
mod current;
mod history;
mod keeper;
mod learner;
mod play;
mod shape;
mod value;

pub use current::RunObservations;
pub use history::{History, Prediction, Run, hour_of};
pub use keeper::{BucketWrite, HistoryCache, WriteResult};
pub use learner::{Estimate, Grade, Learner, Level, Profile};
pub use play::{RemainingTime, remaining};
pub use shape::normal_cdf;
pub use value::{Bucket, DecodeError, Stamp};
