//! The command line: `serve` runs a controller, `check` validates its settings.

use crate::settings::{LogFormat, Settings};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Runtime;

#[derive(Parser)]
#[command(version, about = "A cluster scheduler: capped, indexed first fit on rented machines")]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is ended.
    Serve(Files),
    /// Read and validate the settings, print what is in force, and end.
    Check(Files),
}

#[derive(Args)]
struct Files {
    /// The operators' own settings (YAML); see deploy/operator.example.yaml.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The platform's settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

impl Files {
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
    let p = &settings.platform;
    println!("controller {} in {}", p.host_name, p.location);
    println!("listen {}, mesh {}", p.listen, p.mesh_addr);
    println!("state service {}, cloud {}", p.external.state, p.external.cloud);
    println!("zones {}, teams {}", p.params.zones.join(" "), p.params.teams.len());
    let kept = p.params.state.effective();
    println!(
        "state limits kept to: {} requests and {} changes a second, values of {} bytes, {} writes",
        kept.rps, kept.write_rps, kept.value_max, kept.txn_ops
    );
    match serde_yaml_ng::to_string(&settings.operator) {
        Ok(text) => print!("operator settings in force:\n{text}"),
        Err(error) => eprintln!("troutspindle: {error}"),
    }
    ExitCode::SUCCESS
}

impl Cli {
    pub fn run() -> ExitCode {
        let (files, serve) = match Cli::parse().command {
            Command::Serve(files) => (files, true),
            Command::Check(files) => (files, false),
        };
        let settings = match files.read() {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        if !serve {
            return check(&settings);
        }
        init_log(settings.operator.log_format);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        // A task like all others: a future that the runtime blocks on has it look at sockets and timers once more
        // before it is polled, for each event.
        let serve = |runtime: Runtime| {
            runtime.block_on(async { tokio::spawn(crate::controller::run(settings)).await })?
        };
        match runtime.and_then(serve) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                tracing::error!(%error, "cannot run");
                ExitCode::FAILURE
            }
        }
    }
}
