//! How long tasks will run, learned from those that ran, and how sure that is.
//!
//! Pure: no I/O, no clock. Run times are taken as log-normal: a job's run has a centre and its tasks
//! scatter around it. [`History`] remembers the last runs of jobs that are alike, [`Current`] what a
//! run shows of itself, [`Learner`] finds the right history for a job, [`Keeper`] decides what is
//! written to the state service and when, so that nothing counts twice. `docs/estimates/design.md`
//! tells what was weighed.
#![forbid(unsafe_code)]

pub mod constants;
mod current;
mod history;
mod keeper;
mod learner;
mod play;
mod shape;
mod value;

pub use current::Current;
pub use history::{Believed, History, Run, hour_of};
pub use keeper::{Keeper, Told, Write};
pub use learner::{Estimate, Grade, Learner, Level, Profile};
pub use play::{Rest, remaining};
pub use shape::below;
pub use value::{Bucket, Stamp, Unreadable};
