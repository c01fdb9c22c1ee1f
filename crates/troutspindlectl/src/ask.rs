//! Client for the operators' HTTP API of the controllers. Every controller accepts changes; only the leader knows which
//! jobs are at risk and how many tasks remain on drained machines.

use crate::constants::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use tokio::time::Instant;
use troutspindle_protocol::http::{Client, Method, Request, Response};
use troutspindle_protocol::operator_api::*;

/// Failure of a request to the controllers.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    #[error("no controller given; give each with --controller")]
    NoControllers,
    #[error("{0}: no response from a controller at this address; give another with --controller")]
    Unreachable(SocketAddr),
    #[error(
        "{0}: the operators' API is disabled or the key is wrong; see `operator_key` in the controller's settings"
    )]
    Forbidden(SocketAddr),
    #[error("{0}: not the leader; give all controllers, each with --controller")]
    NotLeader(SocketAddr),
    #[error(
        "{0}: another drain or undrain was accepted first; check `troutspindlectl drains` and repeat the command"
    )]
    Conflict(SocketAddr),
    #[error(
        "{0}: no such zone, machine or controller, or it is not drained; use the names from the settings"
    )]
    Unknown(SocketAddr),
    #[error("{0}: unexpected status {1}; see the controller's log")]
    Status(SocketAddr, u16),
    #[error("{0}: cannot parse the response; the controller may have another version")]
    InvalidResponse(SocketAddr),
}

/// Controllers of one cluster, and the key for their operators' API.
pub struct Cluster {
    pub controllers: Vec<SocketAddr>,
    pub key: String,
}

impl Cluster {
    /// Sends one request to one controller, and maps the status of its response to an error.
    async fn post<T: Serialize>(
        &self,
        client: &Client,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<Response, AskError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let request = Request { method: Method::Post, target: path.into(), body };
        let result = client.call(address, request, Instant::now() + REQUEST_TIMEOUT).await;
        let response = result.map_err(|_| AskError::Unreachable(address))?;
        match response.status {
            200 => Ok(response),
            421 => Err(AskError::NotLeader(address)),
            404 => Err(AskError::Forbidden(address)),
            409 => Err(AskError::Conflict(address)),
            422 => Err(AskError::Unknown(address)),
            other => Err(AskError::Status(address, other)),
        }
    }

    /// Queries the controllers one after another, and returns all their responses.
    async fn query_all<T: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Vec<Result<A, AskError>> {
        let client = Client::start(self.controllers.len(), Vec::new());
        let mut responses = Vec::new();
        for &address in &self.controllers {
            let response = self.post(&client, address, path, body).await;
            responses.push(response.and_then(|response| {
                serde_json::from_slice(&response.body)
                    .map_err(|_| AskError::InvalidResponse(address))
            }));
        }
        responses
    }

    /// Sends a change to the controllers in turn until one accepts it.
    async fn submit<T: Serialize>(&self, path: &str, body: &T) -> Result<(), AskError> {
        let client = Client::start(self.controllers.len(), Vec::new());
        let mut last_error = AskError::NoControllers;
        for &address in &self.controllers {
            match self.post(&client, address, path, body).await {
                Ok(_) => return Ok(()),
                // Every other controller would response the same.
                Err(error @ (AskError::Conflict(_) | AskError::Unknown(_))) => return Err(error),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    fn query(&self) -> OperatorQuery {
        OperatorQuery { key: self.key.clone() }
    }

    /// Returns the jobs that the leader reports at risk of being late.
    ///
    /// # Errors
    /// No controller gave a valid response; the error names a controller and a remedy.
    pub async fn at_risk(&self) -> Result<JobsAtRisk, AskError> {
        first_preferred(self.query_all(AT_RISK_PATH, &self.query()).await, |_| true)
    }

    /// Returns the groups that the leader reports below their floor.
    ///
    /// # Errors
    /// Same as for [`Cluster::at_risk`].
    pub async fn starving(&self) -> Result<FairShareReport, AskError> {
        first_preferred(self.query_all(STARVING_PATH, &self.query()).await, |_| true)
    }

    /// Returns the current drains. Prefers the leader's response, since only the leader knows how many tasks remain.
    ///
    /// # Errors
    /// Same as for [`Cluster::at_risk`].
    pub async fn drains(&self) -> Result<Drains, AskError> {
        let from_leader =
            |drains: &Drains| drains.drains.iter().all(|drain| drain.remaining.is_some());
        first_preferred(self.query_all(DRAINS_PATH, &self.query()).await, from_leader)
    }

    /// Starts a drain.
    ///
    /// # Errors
    /// Same as for [`Cluster::at_risk`]; also if another change was accepted in between, which is not overwritten.
    pub async fn drain(&self, request: &DrainRequest) -> Result<(), AskError> {
        self.submit(DRAIN_PATH, request).await
    }

    /// Ends a drain.
    ///
    /// # Errors
    /// Same as for [`Cluster::drain`].
    pub async fn undrain(&self, kind: DrainKind, name: &str) -> Result<(), AskError> {
        let request = UndrainRequest { key: self.key.clone(), kind, name: name.to_owned() };
        self.submit(UNDRAIN_PATH, &request).await
    }
}

/// Returns the first preferred response, or else the last other response, or else the last error.
fn first_preferred<A>(
    responses: Vec<Result<A, AskError>>,
    is_preferred: impl Fn(&A) -> bool,
) -> Result<A, AskError> {
    let mut fallback = Err(AskError::NoControllers);
    for response in responses {
        match response {
            Ok(response) if is_preferred(&response) => return Ok(response),
            Ok(response) => fallback = Ok(response),
            Err(error) if fallback.is_err() => fallback = Err(error),
            Err(_) => {}
        }
    }
    fallback
}
