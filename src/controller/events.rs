//! Interface between a controller and its actor: events for the controller, and effects for the actor.

use crate::cloud::CloudRequest;
use crate::http::{CallError, Request, Response};
use crate::ids::{ControllerId, MachineId};
use crate::peers::mesh::PeerMessage;
use crate::store::{StoreRequest, StoreResponse};
use crate::wire::{CommandBatch, Heartbeat};
use crate::workers::command_delivery::DirectCall;
use std::net::SocketAddr;

/// Lower bound of the tickets of requests. Lower tickets identify the controller's own syncs with the store.
pub const FIRST_TICKET: u64 = 10;

/// An input that a controller handles.
#[derive(Debug)]
pub enum Event {
    /// A public HTTP request was received.
    Request {
        /// Number that the response repeats.
        ticket: u64,
        /// Request of a user, worker or operator.
        request: Request,
    },
    /// The store responded, or a request to it failed or timed out.
    StoreResponse {
        /// Id of the [`Effect::CallStore`].
        id: u64,
        /// Decoded response or failure.
        response: StoreResponse,
    },
    /// The cloud responded, or a request to it failed or timed out.
    CloudResponse {
        /// Id of the [`Effect::CallCloud`].
        id: u64,
        /// HTTP response or failure.
        result: Result<Response, CallError>,
    },
    /// A direct call to a worker completed or failed.
    WorkerResponse {
        /// Machine of the worker.
        machine: MachineId,
        /// Commands that were sent; `None` for a status query.
        sent: Option<CommandBatch>,
        /// Status of the worker, or failure of the call.
        result: Result<Heartbeat, CallError>,
    },
    /// A peer sent a message over its connection.
    PeerMessage(PeerMessage),
    /// The time of the next tick was reached.
    Tick,
}

impl Event {
    /// Returns the name of the event's kind, for the log.
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

/// An action that a controller requests from its actor.
#[derive(Debug)]
pub enum Effect {
    /// Respond to a public HTTP request.
    Respond {
        /// Ticket of the [`Event::Request`].
        ticket: u64,
        /// Response to send.
        response: Response,
    },
    /// Send a request to the store.
    CallStore {
        /// Id that the [`Event::StoreResponse`] repeats.
        id: u64,
        /// Request to send.
        request: StoreRequest,
    },
    /// Send a request to the cloud.
    CallCloud {
        /// Id that the [`Event::CloudResponse`] repeats.
        id: u64,
        /// Request to send.
        request: CloudRequest,
    },
    /// Call a worker directly.
    CallWorker {
        /// Machine of the worker.
        machine: MachineId,
        /// Address on which the worker listens.
        address: SocketAddr,
        /// Commands to send, or a status query.
        call: DirectCall,
    },
    /// Send a message over the direct connection to a peer.
    SendToPeer {
        /// Host name of the receiving peer.
        to: ControllerId,
        /// Message to send; dropped if the connection is down or its queue is full.
        message: PeerMessage,
    },
}
