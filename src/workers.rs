//! The leader's view of workers: attempts on each machine, delivery of commands, and attribution of failures.

pub mod command_delivery;
pub mod command_log;
pub mod failure_attribution;
pub mod machine;
