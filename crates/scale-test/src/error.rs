//! Errors that prevent a scale run from starting or completing. Texts say what to do where the user can act.

use std::path::PathBuf;

/// Error that prevented a command from completing.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("{0}: {1}")]
    Scenario(PathBuf, String),
    #[error("scenario: {}", .0.join("; "))]
    Invalid(Vec<String>),
    #[error(
        "{0}: no such program; build it first with `cargo build --release --locked --workspace`"
    )]
    NoBinary(PathBuf),
    #[error("{address} is in use ({error}); end the run or program that uses it")]
    PortInUse { address: String, error: std::io::Error },
    #[error(
        "{needed} open files are needed in a process and {limit} allowed; raise it with `ulimit -n {needed}`"
    )]
    Descriptors { needed: u64, limit: u64 },
    #[error(
        "{needed_mb} MB may be needed and half of the memory is {allowed_mb} MB; lower `workers`"
    )]
    Memory { needed_mb: u64, allowed_mb: u64 },
    #[error("{0} processes are needed and {1} allowed; lower `controllers` or `real_workers`")]
    Processes(usize, usize),
    #[error("no controller answered within {0} s; see their logs in {1}")]
    NotUp(u64, PathBuf),
    #[error("a worker process ended early: {0}")]
    WorkerProcess(String),
    #[error("{0}: {1}; give a path that can be written with --out or --dir")]
    Write(PathBuf, std::io::Error),
    #[error("the run exceeded its planned time and was ended")]
    TookTooLong,
    #[error("interrupted")]
    Interrupted,
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
