//! What happens to a controller, and what it wants done: the interface between its cores and their actor.

use crate::cloud::CloudRequest;
use crate::http::{CallError, Request, Response};
use crate::ids::{ControllerId, MachineId};
use crate::peers::mesh::PeerMessage;
use crate::store::{StoreRequest, StoreResponse};
use crate::wire::{CommandBatch, Heartbeat};
use crate::workers::command_delivery::DirectCall;
use std::net::SocketAddr;

/// Tickets of requests begin here; the store knows those below by their use.
pub const FIRST_TICKET: u64 = 10;

/// What happens to a controller.
#[derive(Debug)]
pub enum Event {
    /// A request came in; its response carries the ticket.
    Request {
        /// Identifies the request.
        ticket: u64,
        /// The request.
        request: Request,
    },
    /// The store has responded, or has not in time.
    StoreResponse {
        /// The id of the request.
        id: u64,
        /// The response.
        response: StoreResponse,
    },
    /// The cloud has responded, or has not in time.
    CloudResponse {
        /// The id of the request.
        id: u64,
        /// The response.
        result: Result<Response, CallError>,
    },
    /// A call to a worker has ended.
    WorkerResponse {
        /// The worker's machine.
        machine: MachineId,
        /// The commands that were sent; none with a question for its status.
        sent: Option<CommandBatch>,
        /// The worker's status.
        result: Result<Heartbeat, CallError>,
    },
    /// A peer has sent a message over its connection.
    PeerMessage(PeerMessage),
    /// Time has passed.
    Tick,
}

impl Event {
    /// What the event is about, for the log.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Event::Request { .. } => "request",
            Event::StoreResponse { .. } => "store response",
            Event::CloudResponse { .. } => "cloud response",
            Event::WorkerResponse { .. } => "worker response",
            Event::PeerMessage(_) => "peer message",
            Event::Tick => "tick",
        }
    }
}

/// What a controller wants done.
#[derive(Debug)]
pub enum Effect {
    /// Respond to a request.
    Respond {
        /// Identifies the request.
        ticket: u64,
        /// The response.
        response: Response,
    },
    /// Send a request to the store.
    CallStore {
        /// The id for its response.
        id: u64,
        /// The request.
        request: StoreRequest,
    },
    /// Send a request to the cloud.
    CallCloud {
        /// The id for its response.
        id: u64,
        /// The request.
        request: CloudRequest,
    },
    /// Call a worker.
    CallWorker {
        /// The worker's machine.
        machine: MachineId,
        /// Where the worker listens.
        address: SocketAddr,
        /// The commands, or a question for its status.
        call: DirectCall,
    },
    /// Send a message to a peer over the connection to it.
    SendToPeer {
        /// The peer.
        to: ControllerId,
        /// The message.
        message: PeerMessage,
    },
}
