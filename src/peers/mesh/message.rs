//! Messages between controllers.
//!
//! They are encoded with postcard: the order of variants and fields is part of the encoding, their names are not.

use crate::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use crate::peers::heartbeat_relay::{HeartbeatResult, RelayedHeartbeat};
use crate::peers::membership::Membership;
use crate::workers::command_delivery::{Delivery, DeliveryResult};
use serde::{Deserialize, Serialize};

/// Message from one controller to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic status of a controller, sent to every other controller.
    PeerStatus {
        /// Sender of the status, to which replies are sent.
        from: ControllerId,
        /// Sequence number of the status; replies repeat it.
        seq: u64,
        /// Fencing token of the sender if it is the leader, as a request to extend its leader lease.
        leading: Option<FencingToken>,
        /// True if the sender cannot reach the key-value store.
        store_unavailable: bool,
        /// Newest [`PeerMessage::LeaseGrant`] that the sender received: fencing token of the leader and number.
        acknowledged_grant: (FencingToken, u64),
        /// Time since the sender's process started, in milliseconds.
        uptime_ms: u64,
        /// Workers that the sender answered on a leader's behalf, each with the time since that answer in milliseconds.
        answered_for_leader: Vec<(MachineId, u64)>,
        /// Time since the sender last received a worker's heartbeat, in milliseconds.
        last_heartbeat_age_ms: Option<u64>,
        /// Capabilities of the sender, written after the message in its frame, where earlier versions ignore them.
        #[serde(skip)]
        capabilities: PeerCapabilities,
    },
    /// Grant of a delegated lease: the receiver may answer heartbeats for the leader while it cannot reach the leader.
    LeaseGrant {
        /// Sequence number of the status that this message answers.
        seq: u64,
        /// Fencing token of the leader.
        token: FencingToken,
        /// Number of the grant, which the receiver acknowledges in its status.
        number: u64,
        /// Machines whose heartbeats the receiver must not answer.
        revoked: Vec<MachineId>,
        /// Machines whose heartbeats the receiver answers even while it can reach the leader.
        delegated: Vec<MachineId>,
    },
    /// Extension of the leader lease: the sender does not stand for election for a limited time.
    LeaseExtension {
        /// Controller that extends the lease.
        from: ControllerId,
        /// Sequence number of the status that this message answers.
        seq: u64,
        /// Fencing token of the leader.
        token: FencingToken,
        /// Jobs whose cancellation the sender has confirmed to users.
        cancelled: Vec<JobId>,
    },
    /// Number of running tasks of each job. The receiver needs it to answer users' queries.
    RunningTasks {
        /// Fencing token of the leader.
        token: FencingToken,
        /// Jobs, each with its number of running tasks.
        counts: Vec<(JobId, u32)>,
    },
    /// Users' request to cancel jobs. Every controller that may answer workers has to acknowledge it. It is sent only to
    /// controllers that hold a controller lease, because earlier versions do not know the message.
    CancellationRequest {
        /// Controller that received the users' requests and needs the acknowledgements.
        from: ControllerId,
        /// Sequence number of the request; the acknowledgement repeats it.
        seq: u64,
        /// Jobs to be cancelled.
        jobs: Vec<JobId>,
    },
    /// Acknowledgement of a cancellation: the sender will stop the jobs' tasks on the workers that it answers.
    CancellationAck {
        /// Controller that acknowledges the request.
        from: ControllerId,
        /// Sequence number of the request.
        seq: u64,
        /// Revision of the sender's controller lease under which the acknowledgement is valid.
        lease_revision: Revision,
        /// Jobs whose cancellation is acknowledged; the same as in the request.
        jobs: Vec<JobId>,
        /// Sent by a leader only: revision of its leader key and, for each job, the zones in which it may have tasks.
        placements: Option<(Revision, Vec<Vec<String>>)>,
    },
    /// Assignment of shards: for a short time, the members relay their workers' heartbeats to the leader. Without members,
    /// it ends the relay. This and the following messages are sent only to peers whose protocol version includes them.
    ShardAssignment {
        /// Leader that assigns the shards and receives the heartbeats.
        from: ControllerId,
        /// Fencing token of the leader.
        token: FencingToken,
        /// Controllers among which the workers are divided.
        members: Membership,
    },
    /// Batch of heartbeats relayed to the leader with this fencing token.
    RelayedHeartbeats {
        /// Controller that received the heartbeats and needs their results.
        from: ControllerId,
        /// Fencing token of the leader.
        token: FencingToken,
        /// Number of the batch; the results repeat it.
        batch: u64,
        /// Heartbeats of the batch; results refer to them by index.
        heartbeats: Vec<RelayedHeartbeat>,
    },
    /// The leader's results for a batch of relayed heartbeats.
    HeartbeatResults {
        /// Fencing token of the leader.
        token: FencingToken,
        /// Number of the batch that the results belong to.
        batch: u64,
        /// Results, each with the index of its heartbeat in the batch.
        results: Vec<(u32, HeartbeatResult)>,
    },
    /// Commands that the receiver delivers to workers by direct calls for the leader.
    RelayedCommands {
        /// Leader that issued the commands and receives their results.
        from: ControllerId,
        /// Fencing token of the leader.
        token: FencingToken,
        /// Commands with the workers to call.
        commands: Vec<Delivery>,
    },
    /// Results of the direct calls that the sender made for a leader.
    CommandResults {
        /// Fencing token of the leader.
        token: FencingToken,
        /// Results, each with the number of its command.
        results: Vec<(u64, DeliveryResult)>,
    },
}

/// Version of the message protocol that this program supports. Version 1 added relayed heartbeats.
pub const MESH_PROTOCOL: u8 = 1;

/// Capabilities of a controller, sent with its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PeerCapabilities {
    /// Version of the message protocol that the sender supports; 0 if it sent no capabilities.
    pub protocol: u8,
    /// Free share of the sender's public sockets, in thousandths.
    pub free_sockets_permille: u16,
}
