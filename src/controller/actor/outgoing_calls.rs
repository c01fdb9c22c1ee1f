//! HTTP calls to the store, the cloud and workers.

use super::Event;
use crate::cloud::CloudRequest;
use crate::http::{CallError, Client, Method, Request};
use crate::ids::MachineId;
use crate::settings::ExternalServices;
use crate::store::{StoreRequest, TimedRequest};
use crate::wire::{self, CommandBatch, Heartbeat};
use crate::workers::command_delivery::{DirectCall, WORKER_TIMEOUT};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Timeout of a query for a worker's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a call to the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(4);

/// Concurrent calls. Each is a task of the actor that returns the event with its response.
pub(super) struct OutgoingCalls {
    client: Client,
    store_address: SocketAddr,
    cloud_address: SocketAddr,
    max_idle: usize,
    /// Calls to the store, whose responses have priority over all others.
    pub(super) store: JoinSet<Event>,
    /// Calls to the cloud and to workers.
    pub(super) others: JoinSet<Event>,
}

/// Waits for the next call that completes and returns its event; `None` if there are no calls.
pub(super) async fn next_completed(calls: &mut JoinSet<Event>) -> Option<Event> {
    loop {
        match calls.join_next().await? {
            Ok(event) => return Some(event),
            Err(error) => tracing::error!(%error, "task of an outgoing call failed"),
        }
    }
}

impl OutgoingCalls {
    /// Starts the HTTP client, which keeps at most `max_idle` idle connections to workers.
    pub(super) fn start(external: &ExternalServices, max_idle: usize) -> OutgoingCalls {
        OutgoingCalls {
            client: Client::start(max_idle, vec![external.state, external.cloud]),
            store_address: external.state,
            cloud_address: external.cloud,
            max_idle,
            store: JoinSet::new(),
            others: JoinSet::new(),
        }
    }

    pub(super) fn set_max_idle(&mut self, max_idle: usize) {
        if max_idle != self.max_idle {
            self.max_idle = max_idle;
            self.client.set_max_idle(max_idle);
        }
    }

    pub(super) fn call_store(&mut self, id: u64, call: StoreRequest, now: Instant) {
        let (client, address) = (self.client.clone(), self.store_address);
        self.store.spawn(async move {
            let TimedRequest { request, timeout } = call.to_http();
            let result = client.call(address, request, now + timeout).await;
            Event::StoreResponse { id, response: call.response(result) }
        });
    }

    pub(super) fn call_cloud(&mut self, id: u64, call: &CloudRequest, now: Instant) {
        let (client, address) = (self.client.clone(), self.cloud_address);
        let request = call.request();
        self.others.spawn(async move {
            let result = client.call(address, request, now + CLOUD_TIMEOUT).await;
            Event::CloudResponse { id, result }
        });
    }

    pub(super) fn call_worker(
        &mut self,
        machine: MachineId,
        address: SocketAddr,
        call: DirectCall,
        now: Instant,
    ) {
        let client = self.client.clone();
        self.others.spawn(async move {
            let (request, timeout) = match &call {
                DirectCall::Status => (status_request(), STATUS_TIMEOUT),
                DirectCall::Do(commands) => (command_request(commands), WORKER_TIMEOUT),
            };
            let result = call_worker(&client, address, request, now + timeout).await;
            let sent = match call {
                DirectCall::Status => None,
                DirectCall::Do(commands) => Some(commands),
            };
            Event::WorkerResponse { machine, sent, result }
        });
    }
}

fn status_request() -> Request {
    Request { method: Method::Get, target: "/status".into(), body: Vec::new() }
}

fn command_request(commands: &CommandBatch) -> Request {
    Request { method: Method::Post, target: "/do".into(), body: wire::encode(commands) }
}

async fn call_worker(
    client: &Client,
    address: SocketAddr,
    request: Request,
    deadline: Instant,
) -> Result<Heartbeat, CallError> {
    let response = client.call(address, request, deadline).await?;
    match response.status {
        // A worker that rejects commands (409) returns its status as well.
        200 | 409 => wire::decode(&response.body).map_err(|_| CallError::Unknown),
        _ => Err(CallError::NotSent),
    }
}
