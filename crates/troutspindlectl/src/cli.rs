//! Command line: parses arguments, runs subcommands and formats their results.

use crate::ask::Cluster;
use crate::{bound, generate, past, replay, report};
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use troutspindle_protocol::operator_api::{
    Drain, DrainKind, DrainRequest, Drains, FairShareReport, JobsAtRisk,
};

/// The operators' command of troutspindle.
#[derive(Parser)]
#[command(name = "troutspindlectl", version)]
struct Cli {
    /// Format of results.
    #[arg(long, value_enum, default_value_t = Output::Text, global = true)]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Output {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Reports on the jobs of a running cluster.
    #[command(subcommand)]
    Jobs(Jobs),
    /// Drains a zone, machine or controller until `undrain`: no new tasks start there and running tasks leave; a
    /// controller hands over leadership and users.
    Drain {
        #[command(flatten)]
        target: DrainTarget,
        /// Maximum time that array tasks may still run there, such as 30m; by default each runs to its end.
        #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
        by: Option<std::time::Duration>,
        /// Reason, shown in the list of drains.
        #[arg(long, default_value = "")]
        reason: String,
        /// Name of the person who starts the drain.
        #[arg(long, env = "USER", default_value = "unknown")]
        author: String,
        #[command(flatten)]
        from: Controllers,
    },
    /// Ends a drain, so that the zone, machine or controller is used again.
    Undrain {
        #[command(flatten)]
        target: DrainTarget,
        #[command(flatten)]
        from: Controllers,
    },
    /// Lists drains and the number of tasks that remain.
    Drains(Controllers),
    /// Compares the share of each class's demand that was served on a day with an upper bound.
    Bound {
        /// Logs of all controllers for that day, written at level `info` and with `floor` set.
        #[arg(required = true, value_name = "LOG")]
        logs: Vec<PathBuf>,
    },
    /// Tests run-time estimates on histories of jobs.
    #[command(subcommand)]
    Estimates(Estimates),
    /// Writes shell completions to standard output.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum Jobs {
    /// Lists jobs that will probably be late, most likely first.
    JobsAtRisk(Controllers),
    /// Lists classes of teams that are below their floor while capacity is scarce, and what they wait for.
    FairShareReport(Controllers),
}

#[derive(Args)]
struct DrainTarget {
    #[arg(value_enum)]
    kind: TargetKind,
    /// Name of the zone, machine or controller in the settings.
    name: String,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum TargetKind {
    Zone,
    Machine,
    Controller,
}

impl From<TargetKind> for DrainKind {
    fn from(kind: TargetKind) -> DrainKind {
        match kind {
            TargetKind::Zone => DrainKind::Zone,
            TargetKind::Machine => DrainKind::Machine,
            TargetKind::Controller => DrainKind::Controller,
        }
    }
}

#[derive(Args)]
struct Controllers {
    /// Address of a controller; repeat for each controller, since only the leader can answer every query.
    #[arg(long = "controller", value_name = "ADDRESS", required = true)]
    controllers: Vec<SocketAddr>,
    /// File with the operators' key (`operator_key` in the controllers' settings).
    #[arg(long, value_name = "FILE")]
    key_file: PathBuf,
}

#[derive(Subcommand)]
enum Estimates {
    /// Generates a history of synthetic jobs with heavy tails, weekly variation, drift, nights of doubled inputs and
    /// new classes.
    Generate {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=3660))]
        days: u32,
        #[arg(long, default_value_t = 300)]
        classes: usize,
        /// Output file, one job per line.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Replays a history in order, without using later jobs, and reports the accuracy of estimates and warnings.
    Replay {
        /// History written by `estimates generate`, or a recorded history in the same format.
        file: PathBuf,
        /// Output file for an HTML page with tables and plots.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
}

/// Returns a progress bar on standard error, hidden where that is not a terminal.
fn progress(count: u64, items: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(count).with_message(items);
    match ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len}, {eta} left") {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

type CliResult = Result<(), Box<dyn std::error::Error>>;

/// Writes a result to standard output in the requested format.
fn write<T: Serialize>(output: Output, value: &T, text: impl Fn(&T) -> String) -> CliResult {
    match output {
        Output::Json => println!("{}", serde_json::to_string_pretty(value)?),
        Output::Text => print!("{}", text(value)),
    }
    Ok(())
}

impl Controllers {
    /// Reads the key file, and returns the cluster to send requests to.
    fn cluster(&self) -> Result<Cluster, Box<dyn std::error::Error>> {
        let name = self.key_file.display();
        let key = std::fs::read_to_string(&self.key_file).map_err(|error| {
            format!("{name}: {error}; --key-file must be a file with the value of `operator_key`")
        })?;
        Ok(Cluster { controllers: self.controllers.clone(), key: key.trim().to_owned() })
    }
}

/// Runs requests to controllers to completion on a new runtime.
fn block_on<T, E: std::error::Error + 'static>(
    requests: impl Future<Output = Result<T, E>>,
) -> Result<T, Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(requests)?)
}

fn at_risk_text(found: &JobsAtRisk) -> String {
    let mut text = format!("leader {}: {} jobs at risk\n", found.leader, found.jobs.len());
    for job in &found.jobs {
        text += &format!(
            "{}  {} of {}  late {:.0}%  due in {:.0} s, done in {:.0} s  {} of {} tasks  {}\n",
            job.job,
            job.class,
            job.team,
            job.late_probability * 100.0,
            job.due_in_s,
            job.done_in_s,
            job.done_tasks,
            job.tasks,
            job.grade
        );
    }
    text += &format!(
        "warned of {}: {} late, {} in time; {} late without a warning\n",
        found.warned, found.warned_late, found.warned_in_time, found.late_unwarned
    );
    text
}

fn starving_text(found: &FairShareReport) -> String {
    let Some(scarce_s) = found.scarce_for_s else {
        return format!("leader {}: room is not scarce\n", found.leader);
    };
    let rent = if found.exhausted { "nothing to rent" } else { "more can be rented" };
    let (leader, since, machines) = (&found.leader, duration_text(scarce_s), found.machines);
    let mut text = format!("leader {leader}: scarce for {since}, {machines:.0} machines, {rent}\n");
    if found.groups.is_empty() {
        text += "nobody is below the floor\n";
    }
    for group in &found.groups {
        let causes = group.waits_for.iter().map(|(why, n)| format!("{n} tasks: {why}"));
        let causes: Vec<String> = causes.collect();
        text += &format!(
            "{} of {}: has {:.1} machines of a floor of {:.1} (needs {:.1})  {}\n",
            group.class,
            group.team,
            group.allocated,
            group.floor,
            group.needed,
            causes.join(", ")
        );
    }
    text
}

/// Formats seconds as a duration such as `1h 30m`, with a sign if negative.
fn duration_text(s: f64) -> String {
    let whole = std::time::Duration::from_secs(s.abs() as u64);
    let sign = if s < 0.0 { "-" } else { "" };
    format!("{sign}{}", humantime::format_duration(whole))
}

fn drain_text(drain: &Drain) -> String {
    let kind = format!("{:?}", drain.kind).to_lowercase();
    let by = drain
        .by_in_s
        .map_or("no time set".into(), |s| format!("to be done in {}", duration_text(s)));
    let left = match (drain.remaining, drain.stuck) {
        (Some(0), _) => "empty".into(),
        (Some(left), Some(0)) => format!("{left} tasks left"),
        (Some(left), Some(stuck)) => {
            format!("{left} tasks left, {stuck} of which can neither leave nor end in time")
        }
        _ => "only the leader knows what is left".into(),
    };
    let (since, author, reason) = (duration_text(drain.since_s), &drain.author, &drain.reason);
    format!("{kind} {}: {left}; {by}; since {since}, by {author}: {reason}\n", drain.name)
}

fn drains_text(found: &Drains) -> String {
    if found.drains.is_empty() {
        return "nothing is drained\n".into();
    }
    found.drains.iter().map(drain_text).collect()
}

/// Runs the parsed command.
fn execute(cli: Cli) -> CliResult {
    match cli.command {
        Command::Jobs(Jobs::JobsAtRisk(from)) => {
            let found = block_on(from.cluster()?.at_risk())?;
            write(cli.output, &found, at_risk_text)
        }
        Command::Jobs(Jobs::FairShareReport(from)) => {
            let found = block_on(from.cluster()?.starving())?;
            write(cli.output, &found, starving_text)
        }
        Command::Bound { logs } => {
            let bound = bound::bound(&bound::read(&logs)?)?;
            write(cli.output, &bound, bound::text)
        }
        Command::Drain { target, by, reason, author, from } => {
            let cluster = from.cluster()?;
            let request = DrainRequest {
                key: cluster.key.clone(),
                kind: target.kind.into(),
                name: target.name,
                by_s: by.map(|by| by.as_secs_f64()),
                author,
                reason,
            };
            block_on(cluster.drain(&request))?;
            // Shows at once how many tasks remain.
            let found = block_on(cluster.drains())?;
            write(cli.output, &found, drains_text)
        }
        Command::Undrain { target, from } => {
            let cluster = from.cluster()?;
            block_on(cluster.undrain(target.kind.into(), &target.name))?;
            let found = block_on(cluster.drains())?;
            write(cli.output, &found, drains_text)
        }
        Command::Drains(from) => {
            let found = block_on(from.cluster()?.drains())?;
            write(cli.output, &found, drains_text)
        }
        Command::Estimates(Estimates::Generate { seed, days, classes, out }) => {
            let bar = progress(classes as u64, "classes");
            let jobs = generate::generate(seed, days, classes, || bar.inc(1));
            bar.finish_and_clear();
            past::write(&out, &jobs)?;
            let tasks = jobs.iter().map(|job| job.run_s.len() as u64).sum::<u64>();
            let totals = [("jobs", jobs.len() as u64), ("tasks", tasks)];
            let totals: std::collections::BTreeMap<_, _> = totals.into_iter().collect();
            let name = out.display().to_string();
            write(cli.output, &totals, |totals| {
                format!("{name}: {} jobs, {} tasks\n", totals["jobs"], totals["tasks"])
            })
        }
        Command::Estimates(Estimates::Replay { file, html }) => {
            let jobs = past::read(&file)?;
            let bar = progress(jobs.len() as u64, "jobs");
            let figures = replay::replay(&jobs, || bar.inc(1));
            bar.finish_and_clear();
            if let Some(html) = html {
                let name = html.display().to_string();
                let source =
                    file.file_name().map_or_else(Default::default, |n| n.to_string_lossy());
                std::fs::write(&html, report::page(&figures, &source)).map_err(|error| {
                    format!("{name}: {error}; --html must be a file that can be written")
                })?;
            }
            write(cli.output, &figures, report::text)
        }
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Cli::command(),
                "troutspindlectl",
                &mut std::io::stdout(),
            );
            Ok(())
        }
    }
}

/// Parses the command line, runs the command, and prints a failure to standard error.
pub fn run() -> ExitCode {
    match execute(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("troutspindlectl: {error}");
            ExitCode::FAILURE
        }
    }
}
