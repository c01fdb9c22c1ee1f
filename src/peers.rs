//! Controllers among themselves: their frames, which of them takes which workers' heartbeats, and heartbeats
//! that are relayed to the leader.

pub mod heartbeat_relay;
pub mod membership;
pub mod mesh;
pub mod message_route;
