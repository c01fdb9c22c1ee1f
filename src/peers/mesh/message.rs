//! What controllers send to each other.
//!
//! The wire form is postcard: the order of variants and of fields is part of it, their names are not.

use crate::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use crate::peers::heartbeat_relay::{HeartbeatResult, RelayedHeartbeat};
use crate::peers::membership::Membership;
use crate::workers::command_delivery::{Delivery, DeliveryResult};
use serde::{Deserialize, Serialize};

/// A message from one controller to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The periodic status of a controller, sent to every other one.
    PeerStatus {
        /// The sender.
        from: ControllerId,
        /// Number of the message; replies repeat it.
        seq: u64,
        /// Token of a sender that leads: it asks for a lease extension.
        leading: Option<FencingToken>,
        /// The sender cannot reach the key-value store.
        state_lost: bool,
        /// The newest lease grant that the sender has: token of its leader and number of the grant.
        ack: (FencingToken, u64),
        /// Milliseconds since the sender's process started.
        up_ms: u64,
        /// Workers that the sender answered on a leader's behalf, and how many milliseconds ago.
        answered_for_leader: Vec<(MachineId, u64)>,
        /// Milliseconds since the sender last received a worker's heartbeat.
        worker_ms: Option<u64>,
        /// Written behind the message in its frame, where earlier versions ignore it.
        #[serde(skip)]
        extra: PeerCapabilities,
    },
    /// Lease grant: the receiver may answer heartbeats on the leader's behalf while the leader is out of its
    /// reach.
    LeaseGrant {
        /// Number of the status that is answered.
        seq: u64,
        /// Token of the leader.
        token: FencingToken,
        /// Number of the grant, which the receiver acknowledges in its status.
        number: u64,
        /// Machines that must not be answered.
        revoked: Vec<MachineId>,
        /// Machines that are answered even while the leader is in reach.
        delegated: Vec<MachineId>,
    },
    /// Lease extension: the sender withholds its candidacy for a while.
    LeaseExtension {
        /// The sender.
        from: ControllerId,
        /// Number of the status that is answered.
        seq: u64,
        /// Token of the leader.
        token: FencingToken,
        /// Jobs whose cancellation the sender confirmed to users.
        cancelled: Vec<JobId>,
    },
    /// How many tasks of each job run, for answers to users.
    RunningTasks {
        /// Token of the leader.
        token: FencingToken,
        /// Running tasks by job.
        counts: Vec<(JobId, u32)>,
    },
    /// Users ask to cancel these jobs: whoever may answer workers is asked for an acknowledgement. Sent only to
    /// controllers that hold a controller lease; earlier versions do not know it.
    CancellationRequest {
        /// The sender.
        from: ControllerId,
        /// Number of the request.
        seq: u64,
        /// Jobs to be cancelled.
        jobs: Vec<JobId>,
    },
    /// Cancellation acknowledgement: the sender will have the jobs' tasks stopped on workers that it answers.
    CancellationAck {
        /// The sender.
        from: ControllerId,
        /// Number of the request.
        seq: u64,
        /// Revision of the sender's controller lease under which this holds.
        under: Revision,
        /// Jobs of the request.
        jobs: Vec<JobId>,
        /// From a leader: revision of its leader key, and for each job the zones in which it may have tasks.
        placed: Option<(Revision, Vec<Vec<String>>)>,
    },
    /// Shard assignment: for a short term, members relay heartbeats of their workers to the leader. Without
    /// members nobody does. This and the following go only to peers of a protocol version that has them.
    ShardAssignment {
        /// The leader.
        from: ControllerId,
        /// Token of the leader.
        token: FencingToken,
        /// Controllers among which workers are divided.
        members: Membership,
    },
    /// Relayed heartbeats, for the leader with that token.
    RelayedHeartbeats {
        /// The sender.
        from: ControllerId,
        /// Token of the leader.
        token: FencingToken,
        /// Number of the batch.
        batch: u64,
        /// The heartbeats.
        heartbeats: Vec<RelayedHeartbeat>,
    },
    /// The leader's results for a batch of heartbeats.
    HeartbeatResults {
        /// Token of the leader.
        token: FencingToken,
        /// Number of the batch.
        batch: u64,
        /// Results, each with the index of its heartbeat in the batch.
        results: Vec<(u32, HeartbeatResult)>,
    },
    /// Relayed commands: the leader has the receiver call workers.
    RelayedCommands {
        /// The leader.
        from: ControllerId,
        /// Token of the leader.
        token: FencingToken,
        /// The calls.
        commands: Vec<Delivery>,
    },
    /// Command results of calls that the sender made for a leader.
    CommandResults {
        /// Token of the leader.
        token: FencingToken,
        /// Results, each with the number of its command.
        results: Vec<(u64, DeliveryResult)>,
    },
}

/// Version of the messages that this program understands: 1 added relayed heartbeats.
pub const MESH_PROTOCOL: u8 = 1;

/// What a controller offers to its peers, sent with its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PeerCapabilities {
    /// Version of the messages that the sender understands; 0 if it does not say.
    pub protocol: u8,
    /// Thousandths of its public sockets that are free.
    pub free_sockets_permille: u16,
}
