//! Asks controllers on their operators' paths. Any of them takes orders; what is at risk and what is left
//! to leave only the leader knows.

use crate::constants::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use tokio::time::Instant;
use troutspindle_protocol::http::{Client, Method, Request, Response};
use troutspindle_protocol::operator_api::*;

#[derive(Debug, thiserror::Error)]
pub enum AskError {
    #[error("no controller was named; give each with --controller")]
    Nobody,
    #[error("{0}: no controller listens there; give another with --controller")]
    Silent(SocketAddr),
    #[error(
        "{0}: operators' paths are off or the key is not its key; see `operator_key` in its settings"
    )]
    Shut(SocketAddr),
    #[error("{0}: does not lead; give all controllers, each with --controller")]
    NoLeader(SocketAddr),
    #[error("{0}: another order came first; look at `troutspindlectl drains` and give yours again")]
    Conflict(SocketAddr),
    #[error(
        "{0}: knows no such thing to drain, or nothing of it is drained; names are those of the settings"
    )]
    Unknown(SocketAddr),
    #[error("{0}: answered {1}; its log says why")]
    Status(SocketAddr, u16),
    #[error("{0}: answered what this command does not read; is it of another version?")]
    Answer(SocketAddr),
}

/// Controllers, and the key that opens their operators' paths.
pub struct Cluster {
    pub controllers: Vec<SocketAddr>,
    pub key: String,
}

impl Cluster {
    async fn post<T: Serialize>(
        &self,
        client: &Client,
        at: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<Response, AskError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let request = Request { method: Method::Post, target: path.into(), body };
        let answer = client.call(at, request, Instant::now() + REQUEST_TIMEOUT).await;
        let response = answer.map_err(|_| AskError::Silent(at))?;
        match response.status {
            200 => Ok(response),
            421 => Err(AskError::NoLeader(at)),
            404 => Err(AskError::Shut(at)),
            409 => Err(AskError::Conflict(at)),
            422 => Err(AskError::Unknown(at)),
            other => Err(AskError::Status(at, other)),
        }
    }

    /// Answers of the controllers, one after another.
    async fn all<T: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Vec<Result<A, AskError>> {
        let client = Client::start(self.controllers.len(), Vec::new());
        let mut answers = Vec::new();
        for &at in &self.controllers {
            let response = self.post(&client, at, path, body).await;
            answers.push(response.and_then(|response| {
                serde_json::from_slice(&response.body).map_err(|_| AskError::Answer(at))
            }));
        }
        answers
    }

    /// Gives an order to the first controller that takes it.
    async fn order<T: Serialize>(&self, path: &str, body: &T) -> Result<(), AskError> {
        let client = Client::start(self.controllers.len(), Vec::new());
        let mut last = AskError::Nobody;
        for &at in &self.controllers {
            match self.post(&client, at, path, body).await {
                Ok(_) => return Ok(()),
                // It is the same everywhere.
                Err(error @ (AskError::Conflict(_) | AskError::Unknown(_))) => return Err(error),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    fn question(&self) -> OperatorQuery {
        OperatorQuery { key: self.key.clone() }
    }

    /// What the leader says is at risk.
    ///
    /// # Errors
    /// Which controller stood in the way, and what to do about it.
    pub async fn at_risk(&self) -> Result<JobsAtRisk, AskError> {
        first(self.all(AT_RISK_PATH, &self.question()).await, |_| true)
    }

    /// What the leader says is starving.
    ///
    /// # Errors
    /// As above.
    pub async fn starving(&self) -> Result<FairShareReport, AskError> {
        first(self.all(STARVING_PATH, &self.question()).await, |_| true)
    }

    /// What is drained, by the leader if it is among them: the others don't know what is left.
    ///
    /// # Errors
    /// As above.
    pub async fn drains(&self) -> Result<Drains, AskError> {
        let told = |drains: &Drains| drains.drains.iter().all(|drain| drain.remaining.is_some());
        first(self.all(DRAINS_PATH, &self.question()).await, told)
    }

    /// # Errors
    /// As above; an order that came in between is not overwritten.
    pub async fn drain(&self, order: &DrainRequest) -> Result<(), AskError> {
        self.order(DRAIN_PATH, order).await
    }

    /// # Errors
    /// As above.
    pub async fn undrain(&self, kind: DrainKind, name: &str) -> Result<(), AskError> {
        let order = UndrainRequest { key: self.key.clone(), kind, name: name.to_owned() };
        self.order(UNDRAIN_PATH, &order).await
    }
}

/// The first answer that is best, or any, or the last of what stood in the way.
fn first<A>(answers: Vec<Result<A, AskError>>, best: impl Fn(&A) -> bool) -> Result<A, AskError> {
    let mut kept = Err(AskError::Nobody);
    for answer in answers {
        match answer {
            Ok(answer) if best(&answer) => return Ok(answer),
            Ok(answer) => kept = Ok(answer),
            Err(error) if kept.is_err() => kept = Err(error),
            Err(_) => {}
        }
    }
    kept
}
