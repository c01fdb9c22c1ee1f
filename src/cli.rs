//! Command line: `serve` runs a controller, `check` validates its settings.

use crate::controller::ControllerError;
use crate::settings::{LogFormat, Settings};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Command-line arguments of the program.
#[derive(Parser)]
#[command(version, about = "A cluster scheduler: capped, indexed first fit on rented machines")]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until the process is terminated.
    Serve(SettingsFiles),
    /// Read and validate the settings, print the effective values, and exit.
    Check(SettingsFiles),
}

#[derive(Args)]
struct SettingsFiles {
    /// The operators' settings (YAML); see deploy/operator.example.yaml.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The platform's settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

impl SettingsFiles {
    fn read(&self) -> Result<Settings, ExitCode> {
        Settings::read(&self.config, self.operator.as_deref()).map_err(|error| {
            for line in error.to_string().lines() {
                eprintln!("troutspindle: {line}");
            }
            ExitCode::from(2)
        })
    }
}

fn init_log(format: LogFormat) {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("info") => tracing::Level::INFO,
        _ => tracing::Level::ERROR,
    };
    let builder = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

fn check(settings: &Settings) -> ExitCode {
    let platform = &settings.platform;
    println!("controller {} in {}", platform.host_name, platform.location);
    println!("listen {}, mesh {}", platform.listen, platform.mesh_addr);
    println!("store {}, cloud {}", platform.external.state, platform.external.cloud);
    println!("zones {}, teams {}", platform.params.zones.join(" "), platform.params.teams.len());
    let limits = platform.params.state.effective();
    println!(
        "effective store limits: {} requests/s, {} writes/s, {} bytes per value, {} operations per transaction",
        limits.rps, limits.write_rps, limits.value_max, limits.txn_ops
    );
    match serde_yaml_ng::to_string(&settings.operator) {
        Ok(text) => print!("effective operator settings:\n{text}"),
        Err(error) => eprintln!("troutspindle: {error}"),
    }
    ExitCode::SUCCESS
}

fn serve(settings: Settings) -> Result<(), ControllerError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ControllerError::Runtime)?;
    // The controller runs as a spawned task, because the runtime checks sockets and timers once more before each
    // poll of the future that it blocks on.
    let controller = async { tokio::spawn(crate::controller::run(settings)).await };
    runtime.block_on(controller).map_err(ControllerError::Task)?
}

impl Cli {
    /// Runs the subcommand that the arguments name.
    pub fn run() -> ExitCode {
        let command = Cli::parse().command;
        let (Command::Serve(files) | Command::Check(files)) = &command;
        let settings = match files.read() {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        if matches!(command, Command::Check(_)) {
            return check(&settings);
        }
        init_log(settings.operator.log_format);
        match serve(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                tracing::error!(%error, "controller failed");
                ExitCode::FAILURE
            }
        }
    }
}
