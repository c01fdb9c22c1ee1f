//! Why a controller can't run.

use std::net::SocketAddr;

/// Why a controller can't run, or has ended early.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// An address of its settings can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The histogram of response times can't be created.
    #[error("cannot create the latency histogram: {0}")]
    LatencyHistogram(#[source] hdrhistogram::CreationError),
    /// The runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The controller's task has panicked.
    #[error("the controller's task ended early: {0}")]
    Task(#[source] tokio::task::JoinError),
}
