//! Entry point of the controller program; see [`troutspindle::cli`].

#![forbid(unsafe_code)]

use std::process::ExitCode;
use troutspindle::cli::Cli;

fn main() -> ExitCode {
    Cli::run()
}
