//! The `troutspindle-scale-test` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    troutspindle_scale_test::cli::main()
}
