//! Events of the simulation, and the faults that can be injected.

use crate::extra_requests::ExtraRequest;
use troutspindle::cloud::CloudRequest;
use troutspindle::controller::Event;
use troutspindle::http::{Request, Response};
use troutspindle::ids::MachineId;
use troutspindle::store::StoreRequest;
use troutspindle::wire;
use troutspindle::wire::CommandBatch;
use troutspindle::workers::command_delivery::DirectCall;

/// An event of the simulation. The first `usize` is the controller, a `u32` its incarnation.
pub enum SimEvent {
    Tick(usize),
    /// A message reaches the controller if the addressed incarnation still runs.
    Controller(usize, u32, Event),
    /// A request with its call number reaches the store.
    Store(usize, u32, u64, StoreRequest),
    /// The store applies a transaction whose sender no longer waits for the response.
    DelayedCommit(wire::Transaction),
    /// The store applies the transaction of this call and responds.
    SlowCommit(usize, u32, u64, wire::Transaction),
    /// A request with its call number reaches the cloud.
    Cloud(usize, u32, u64, CloudRequest),
    DirectCall(usize, u32, MachineId, DirectCall),
    /// An encoded heartbeat with its sequence number reaches a controller.
    Heartbeat(usize, MachineId, Vec<u8>, u64),
    HeartbeatResponse(MachineId, u64, Response),
    /// A worker runs its periodic step.
    Worker(MachineId),
    Fault(Fault),
    /// The user of this job runs the periodic step.
    User(u64),
    UserRequest(usize, u64, Request),
    /// The response to the request that the job's user sent at this time.
    UserResponse(u64, u64, Response),
    /// A request in addition to the user's regular ones reaches a controller.
    ExtraRequest(usize, ExtraRequest),
    ExtraResponse(ExtraRequest, Response),
    /// Users send the next invalid request while that fault lasts.
    InvalidRequest,
    /// Delayed direct commands reach a worker after their sender has timed out.
    DelayedCommands(MachineId, CommandBatch),
    /// A copy of direct commands that were executed and answered reaches the worker.
    RepeatedCommands(MachineId, CommandBatch),
    Restart(usize),
    LeaseCheck,
    /// The controller handles the first event in its queue.
    NextQueued(usize),
}

/// A fault, or its begin (`true`) and end (`false`).
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The controller crashes and restarts after 4 s.
    Crash(usize),
    /// The controller crashes and restarts after this many milliseconds.
    CrashAndRestart(usize, u64),
    /// Partitions a controller from everything but the store and the cloud.
    PartitionController(usize, bool),
    /// Partitions zone a from zone b. Controllers with odd numbers are in zone b, the others in zone a.
    PartitionZones(bool),
    /// Partitions the leader from the workers of zone b, but not controllers from each other.
    CutLeaderFromWorkers(bool),
    /// Partitions zone b from everything, including the store, the cloud and users.
    IsolateZone(bool),
    /// The store is unavailable.
    StoreOutage(bool),
    /// The cloud reclaims one spot machine.
    ReclaimMachine,
    /// The cloud reclaims all spot machines without notice.
    ReclaimSpotMachines,
    /// The store rejects this controller only.
    StoreRejects(usize, bool),
    CloudOutage(bool),
    /// Sets the number of ordinary and of spot machines that each zone offers.
    Capacity([usize; 2]),
    /// A third of the new machines never boots, the others take three times as long.
    FailedBoots(bool),
    /// Connections between controllers are rejected.
    RefusePeerConnections(bool),
    /// The controller handles 70 % of its messages up to 150 ms late.
    SlowController(usize, bool),
    /// Tasks that start during the fault run three times as long.
    SlowMachines(bool),
    /// The controller stalls, between two events or between an event and its effects, while its clock continues.
    Stall(usize, bool),
    /// The controller is down for a minute: connections time out instead of being rejected.
    SwitchOff(usize),
    /// Users poll eight times as often.
    PollStorm(bool),
    /// Partitions a controller from all workers, but from nothing else.
    CutControllerFromWorkers(usize, bool),
    /// The controller crashes and restarts with the new version.
    Upgrade(usize),
    /// Each event takes every controller this many milliseconds; later events queue.
    EventCost(u64),
    /// The store's limits change to those that the settings announce as the next ones.
    TightenStoreLimits,
    /// A third of the transactions gets no response and is applied 2 to 12 s later.
    DelayedCommits(bool),
    /// A copy of a third of the heartbeats arrives 2 to 28 s later.
    DelayedHeartbeats(bool),
    /// Heartbeats of a zone's workers arrive, but responses and direct commands to them are lost.
    DropResponsesToWorkers(usize, bool),
    /// A zone's workers hang: they neither act nor receive anything until the fault ends.
    HangWorkers(usize, bool),
    /// Partitions a controller from the store and the other controllers, but not from workers and users.
    IsolateController(usize, bool),
    /// Messages from a controller to its peers are lost.
    DropOutgoingPeerMessages(usize, bool),
    /// Messages to a controller from its peers are lost.
    DropIncomingPeerMessages(usize, bool),
    /// A third of the transactions is applied at once, and the response is lost.
    LoseCommitResponses(bool),
    /// Transactions are applied 200 to 1450 ms late.
    SlowCommits(bool),
    /// Copies of heartbeats are kept, and reach all controllers as the next leader starts.
    ReplayHeartbeatsToNextLeader(bool),
    /// The workers of a zone cannot connect to any controller; direct commands still reach them.
    WorkersCannotConnect(usize, bool),
    /// In a third of the direct calls, the command or its response is delayed by seconds.
    DelayedCommands(bool),
    /// Of half of the direct calls that were executed and answered, a copy arrives 0.5 s to 90 s later.
    RepeatedCommands(bool),
    /// After each status change users poll all controllers within milliseconds, repeat the submission, and some cancel.
    RapidRequests(bool),
    /// Users cancel this many running jobs within 200 ms.
    CancelNow(usize),
    /// Half of the jobs whose last task completes are cancelled within 60 ms.
    CancelAtCompletion(bool),
    /// Users send incomplete and repeated submissions, cancel completed jobs, and poll unknown jobs.
    InvalidRequests(bool),
    /// This many machines with tasks are lost without notice.
    KillMachines(usize),
    /// The leader crashes and restarts after this many milliseconds.
    CrashLeader(u64),
    /// New machines boot within two seconds, mostly before the response to the rental arrives.
    FastBoots(bool),
}
