#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    troutspindlectl::cli::run()
}
