//! Command line: `run` executes a scale run, `capacity` computes the tables of the capacity page from stored reports.

use crate::error::RunError;
use crate::run::{self, Options};
use crate::scenario::{self, Scenario};
use crate::{capacity, worker_process};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status when a rule was broken or the page differs from the reports.
const CHECK_FAILED: u8 = 1;
/// Exit status when the command could not be executed.
const ERROR: u8 = 2;

#[derive(Parser)]
#[command(version, about = "Scale runs of troutspindle on one machine")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Execute a scenario with real controllers and emulated workers, and print the resources used by each role.
    Run(RunArgs),
    /// Fit lines to stored reports and print the tables; with --page, check that a page contains them.
    Capacity(CapacityArgs),
    /// Run emulated workers; started by `run`.
    #[command(hide = true)]
    Workers,
}

#[derive(Args)]
struct RunArgs {
    /// Scenario file (YAML).
    scenario: PathBuf,
    /// Number of workers instead of the scenario's; the work is scaled in proportion.
    #[arg(long)]
    workers: Option<u32>,
    /// Number of controllers instead of the scenario's.
    #[arg(long)]
    controllers: Option<u32>,
    /// Task starts per second that arrays request, instead of the scenario's rate.
    #[arg(long)]
    starts: Option<f64>,
    /// File with a list of faults (YAML, as in a scenario's `faults`) that replaces the scenario's list.
    #[arg(long)]
    faults: Option<PathBuf>,
    /// Program of the controllers.
    #[arg(long, default_value = "target/release/troutspindle")]
    controller: PathBuf,
    /// File with the operators' settings of the controllers.
    #[arg(long)]
    operator: Option<PathBuf>,
    /// Directory for the settings and logs of the run.
    #[arg(long, default_value = "target/scale")]
    dir: PathBuf,
    /// File to which the JSON report is written.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Name of the run, stored in its report.
    #[arg(long, default_value = "")]
    label: String,
    /// Share of the direct commands that reach their worker a second time, instead of the scenario's.
    #[arg(long)]
    repeated_commands: Option<f64>,
    /// Give the judge one start that did not happen; the run must then fail.
    #[arg(long)]
    planted_fault: bool,
}

#[derive(Args)]
struct CapacityArgs {
    /// JSON reports of runs.
    #[arg(required = true)]
    reports: Vec<PathBuf>,
    /// Page that must contain the tables.
    #[arg(long)]
    page: Option<PathBuf>,
}

/// Parses the arguments, executes the command and returns its exit status.
pub fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run(args) => scale_run(args),
        Command::Capacity(args) => tables(&args),
        Command::Workers => workers(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(CHECK_FAILED),
        Err(error) => {
            eprintln!("troutspindle-scale-test: {error}");
            ExitCode::from(ERROR)
        }
    }
}

fn scale_run(args: RunArgs) -> Result<bool, RunError> {
    let mut scenario = Scenario::read(&args.scenario)?;
    if let Some(workers) = args.workers {
        scenario.scale_to_workers(workers);
    }
    if let Some(starts) = args.starts {
        scenario.scale_to_starts_per_s(starts);
    }
    if let Some(path) = &args.faults {
        scenario.faults = scenario::read_faults(path)?;
    }
    scenario.controllers = args.controllers.unwrap_or(scenario.controllers);
    scenario.repeated_commands = args.repeated_commands.unwrap_or(scenario.repeated_commands);
    scenario.planted_fault |= args.planted_fault;
    let found = scenario.faults_found();
    if !found.is_empty() {
        return Err(RunError::Invalid(found));
    }
    let options = Options {
        controller_binary: args.controller,
        test_binary: std::env::current_exe()?,
        operator: args.operator,
        dir: args.dir,
        label: args.label,
        progress: true,
    };
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(run::run(scenario, options))?;
    print!("{}", report.table());
    if let Some(path) = &args.out {
        let text = serde_json::to_string_pretty(&report).map_err(std::io::Error::other)?;
        std::fs::write(path, text + "\n").map_err(|error| RunError::Write(path.clone(), error))?;
    }
    Ok(report.is_clean())
}

fn tables(args: &CapacityArgs) -> Result<bool, RunError> {
    let reports = capacity::read(&args.reports)?;
    let text = capacity::tables(&reports);
    match &args.page {
        None => print!("{text}"),
        Some(path) => {
            let page = std::fs::read_to_string(path)
                .map_err(|error| RunError::Scenario(path.clone(), error.to_string()))?;
            if !page.contains(text.trim_end()) {
                eprintln!("{} does not hold these tables:\n{text}", path.display());
                return Ok(false);
            }
        }
    }
    Ok(true)
}

fn workers() -> Result<bool, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(worker_process::serve())?;
    // A blocking read of standard input occupies a thread; an ordinary shutdown would wait for it.
    runtime.shutdown_background();
    Ok(true)
}
