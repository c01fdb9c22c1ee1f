//! Communication between controllers: the messages that they exchange, the assignment of workers to controllers,
//! and the relay of heartbeats to the leader.

pub mod heartbeat_relay;
pub mod membership;
pub mod mesh;
pub mod message_route;
