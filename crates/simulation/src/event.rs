//! What happens in a simulated world, and the faults that are injected into it.

use crate::extra_requests::ExtraRequest;
use troutspindle::cloud::CloudRequest;
use troutspindle::controller::Event;
use troutspindle::http::{Request, Response};
use troutspindle::ids::MachineId;
use troutspindle::store::StoreRequest;
use troutspindle::wire;
use troutspindle::wire::CommandBatch;
use troutspindle::workers::command_delivery::DirectCall;

/// What is due at some time.
pub enum SimEvent {
    Tick(usize),
    /// A message reaches the node, if the incarnation it was meant for still runs.
    Controller(usize, u32, Event),
    State(usize, u32, u64, StoreRequest),
    /// A transaction is carried out of which nobody waits for the answer any more.
    DelayedCommit(wire::Transaction),
    /// A transaction of this node, and of its call with that number, is carried out and answered.
    SlowCommit(usize, u32, u64, wire::Transaction),
    Cloud(usize, u32, u64, CloudRequest),
    DirectCall(usize, u32, MachineId, DirectCall),
    /// A report reaches a node.
    Heartbeat(usize, MachineId, Vec<u8>, u64),
    HeartbeatResponse(MachineId, u64, Response),
    Worker(MachineId),
    Fault(Fault),
    User(u64),
    UserRequest(usize, u64, Request),
    /// To the job's user, on the request made at that time.
    UserResponse(u64, u64, Response),
    /// A request beside the user's usual ones goes to a node, and its answer comes back.
    ExtraRequest(usize, ExtraRequest),
    ExtraResponse(ExtraRequest, Response),
    /// Users send odd requests as long as that trouble lasts.
    InvalidRequest,
    /// Orders straight to a worker that were held up, whose sender has given up.
    DelayedCommands(MachineId, CommandBatch),
    Restart(usize),
    LeaseCheck,
    /// The node gets round to what is first in its line.
    NextQueued(usize),
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Crash(usize),
    /// A crash, and after how many milliseconds the controller is back.
    CrashAndRestart(usize, u64),
    /// Between a node and everything but the state service and the cloud.
    CutNode(usize, bool),
    /// Between zones: node 1 stands in zone b, the others in zone a.
    CutZones(bool),
    /// Between the leader and the workers of zone b, but not among nodes.
    CutWorkers(bool),
    /// Between zone b and everything, the state service, the cloud and users included.
    IsolateZone(bool),
    Outage(bool),
    ReclaimMachine,
    /// All spot machines, without notice.
    ReclaimSpotMachines,
    /// The state service refuses this node alone.
    StoreRefuses(usize, bool),
    CloudOutage(bool),
    /// So many ordinary and spot machines can be had in each zone.
    Capacity([usize; 2]),
    /// A third of the new machines never comes up, the others late.
    FailedBoots(bool),
    /// Connections between nodes are refused.
    RefusePeerConnections(bool),
    /// The node takes up to 150 ms longer for most of what it does.
    SlowNode(usize, bool),
    /// Tasks started meanwhile run three times as long.
    SlowMachines(bool),
    /// The node stands still, between two events or between an event and its effects, while its
    /// clock runs on.
    Stall(usize, bool),
    /// The node is switched off for a minute: silent, not refusing.
    Down(usize),
    /// Users ask eight times as often.
    PollStorm(bool),
    /// Between a node and all workers, but nothing else.
    CutControllerFromWorkers(usize, bool),
    /// The node is ended and comes back with the new version.
    Upgrade(usize),
    /// Each event takes every node so many milliseconds, and what comes meanwhile waits in line.
    EventCost(u64),
    /// The state service's limits become those that settings name as the next ones.
    TightenStoreLimits,
    /// A third of the transactions gets no answer, and is carried out 2 to 12 s later.
    DelayedCommits(bool),
    /// Of a third of the reports a copy arrives again, 2 to 28 s later.
    DelayedHeartbeats(bool),
    /// The reports of a zone's workers arrive; answers and direct commands to them are lost.
    DropResponsesToWorkers(usize, bool),
    /// A zone's workers hang: they do and hear nothing, and go on later.
    HangWorkers(usize, bool),
    /// A node loses the state service and the other nodes, not its workers or users.
    IsolateController(usize, bool),
    /// What a node says to the others, or they to it, is lost.
    DropOutgoingPeerMessages(usize, bool),
    DropIncomingPeerMessages(usize, bool),
    /// A third of the transactions is carried out at once, and its answer lost.
    LoseCommitResponses(bool),
    /// Transactions take some hundred milliseconds to seconds, and only then are carried out.
    SlowCommits(bool),
    /// Copies of reports are kept, and reach all controllers as a next leader begins.
    ReplayHeartbeatsToNextLeader(bool),
    /// The workers of a zone reach no controller; direct commands reach them.
    WorkersCannotConnect(usize, bool),
    /// A third of the direct commands is held up for seconds, or their answers are.
    DelayedCommands(bool),
    /// After each news users ask at all nodes within milliseconds, repeat the submission, and some cancel.
    RapidRequests(bool),
    /// Users call off so many jobs that run, within a fifth of a second.
    CancelNow(usize),
    /// Half of the jobs whose last task ends are called off at that moment.
    CancelAtEnd(bool),
    /// Submissions that are broken or repeated, cancellations of what is done, questions about nothing.
    InvalidRequests(bool),
    /// So many machines with tasks are lost without notice.
    KillMachines(usize),
    /// Whoever leads ends, and is back after so many milliseconds.
    CrashLeader(u64),
    /// New machines are up within two seconds, mostly before the answer to their rental comes.
    FastBoots(bool),
}
