#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    troutspindle::cli::Cli::run()
}
