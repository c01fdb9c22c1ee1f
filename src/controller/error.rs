//! Error type of a controller.

use std::net::SocketAddr;

/// An error that prevents a controller from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// Binding a listener to an address of the settings failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Public address or peer address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Creating the histogram of response times failed.
    #[error("cannot create the latency histogram: {0}")]
    LatencyHistogram(#[source] hdrhistogram::CreationError),
    /// Starting the asynchronous runtime failed.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The controller's task panicked.
    #[error("the controller's task ended early: {0}")]
    Task(#[source] tokio::task::JoinError),
}
