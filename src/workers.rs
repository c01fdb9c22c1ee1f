//! Workers as the leader knows them: what runs where, commands on their way, and whose fault a failure is.

pub mod command_delivery;
pub mod failure_attribution;
pub mod machine;
