//! The command line.

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
    /// How results are written.
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
    /// Jobs of a running cluster.
    #[command(subcommand)]
    Jobs(Jobs),
    /// Starts nothing new in a zone or on a machine and has what runs there leave, until `undrain`; a
    /// controller hands leadership and users over.
    Drain {
        #[command(flatten)]
        what: What,
        /// How long arrays may run there at the most, such as 30m; without it each runs to its end.
        #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
        by: Option<std::time::Duration>,
        /// Why, for whoever looks at it later.
        #[arg(long, default_value = "")]
        reason: String,
        /// Who orders it.
        #[arg(long, env = "USER", default_value = "unknown")]
        author: String,
        #[command(flatten)]
        from: Controllers,
    },
    /// Ends a drain: what was drained is used again.
    Undrain {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        from: Controllers,
    },
    /// What is drained, and what is left there.
    Drains(Controllers),
    /// How much of what each class asked for was served on a day, beside what could have been at the most.
    Bound {
        /// The controllers' logs of that day, at level `info` and with a `floor` set.
        #[arg(required = true, value_name = "LOG")]
        logs: Vec<PathBuf>,
    },
    /// Learned run times, tried on histories of jobs.
    #[command(subcommand)]
    Estimates(Estimates),
    /// Writes completions for a shell to standard output.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum Jobs {
    /// Those that will probably be late, the likeliest first.
    JobsAtRisk(Controllers),
    /// Classes of teams that have less than their floor while room is scarce, and what they wait for.
    FairShareReport(Controllers),
}

#[derive(Args)]
struct What {
    #[arg(value_enum)]
    kind: Kind,
    /// The zone, machine or controller, as the settings name it.
    name: String,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Kind {
    Zone,
    Machine,
    Controller,
}

impl From<Kind> for DrainKind {
    fn from(kind: Kind) -> DrainKind {
        match kind {
            Kind::Zone => DrainKind::Zone,
            Kind::Machine => DrainKind::Machine,
            Kind::Controller => DrainKind::Controller,
        }
    }
}

#[derive(Args)]
struct Controllers {
    /// Where a controller listens; given for each of them, since only the leader knows.
    #[arg(long = "controller", value_name = "ADDRESS", required = true)]
    controllers: Vec<SocketAddr>,
    /// A file with the operators' key, `operator_key` of the controllers' settings.
    #[arg(long, value_name = "FILE")]
    key_file: PathBuf,
}

#[derive(Subcommand)]
enum Estimates {
    /// Makes a history of stand-in jobs: heavy tails, weekly rhythm, drift, doubled nights, new classes.
    Generate {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=3660))]
        days: u32,
        #[arg(long, default_value_t = 300)]
        classes: usize,
        /// Where to write it, one job to a line.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Plays a history in order, never looking ahead, and says how good estimates and warnings were.
    Replay {
        /// What `estimates generate` wrote, or a recorded history of the same form.
        file: PathBuf,
        /// Where to write a page with tables and plots.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
}

/// Progress on standard error; hidden where that is no terminal.
fn progress(count: u64, what: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(count).with_message(what);
    match ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len}, {eta} left") {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

type Ran = Result<(), Box<dyn std::error::Error>>;

fn write<T: Serialize>(output: Output, value: &T, text: impl Fn(&T) -> String) -> Ran {
    match output {
        Output::Json => println!("{}", serde_json::to_string_pretty(value)?),
        Output::Text => print!("{}", text(value)),
    }
    Ok(())
}

impl Controllers {
    fn cluster(&self) -> Result<Cluster, Box<dyn std::error::Error>> {
        let name = self.key_file.display();
        let key = std::fs::read_to_string(&self.key_file).map_err(|error| {
            format!("{name}: {error}; --key-file names a file with `operator_key`")
        })?;
        Ok(Cluster { controllers: self.controllers.clone(), key: key.trim().to_owned() })
    }
}

/// Runs one conversation with controllers.
fn converse<T, E: std::error::Error + 'static>(
    talk: impl Future<Output = Result<T, E>>,
) -> Result<T, Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(talk)?)
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
    let (leader, since, machines) = (&found.leader, seconds(scarce_s), found.machines);
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

fn seconds(s: f64) -> String {
    let whole = std::time::Duration::from_secs(s.abs() as u64);
    let sign = if s < 0.0 { "-" } else { "" };
    format!("{sign}{}", humantime::format_duration(whole))
}

fn drain_text(drain: &Drain) -> String {
    let kind = format!("{:?}", drain.kind).to_lowercase();
    let by =
        drain.by_in_s.map_or("no time set".into(), |s| format!("to be done in {}", seconds(s)));
    let left = match (drain.remaining, drain.stuck) {
        (Some(0), _) => "empty".into(),
        (Some(left), Some(0)) => format!("{left} tasks left"),
        (Some(left), Some(stuck)) => {
            format!("{left} tasks left, {stuck} of which can neither leave nor end in time")
        }
        _ => "only the leader knows what is left".into(),
    };
    let (since, author, reason) = (seconds(drain.since_s), &drain.author, &drain.reason);
    format!("{kind} {}: {left}; {by}; since {since}, by {author}: {reason}\n", drain.name)
}

fn drains_text(found: &Drains) -> String {
    if found.drains.is_empty() {
        return "nothing is drained\n".into();
    }
    found.drains.iter().map(drain_text).collect()
}

fn carry_out(cli: Cli) -> Ran {
    match cli.command {
        Command::Jobs(Jobs::JobsAtRisk(from)) => {
            let found = converse(from.cluster()?.at_risk())?;
            write(cli.output, &found, at_risk_text)
        }
        Command::Jobs(Jobs::FairShareReport(from)) => {
            let found = converse(from.cluster()?.starving())?;
            write(cli.output, &found, starving_text)
        }
        Command::Bound { logs } => {
            let bound = bound::bound(&bound::read(&logs)?)?;
            write(cli.output, &bound, bound::text)
        }
        Command::Drain { what, by, reason, author, from } => {
            let cluster = from.cluster()?;
            let order = DrainRequest {
                key: cluster.key.clone(),
                kind: what.kind.into(),
                name: what.name,
                by_s: by.map(|by| by.as_secs_f64()),
                author,
                reason,
            };
            converse(cluster.drain(&order))?;
            // What it will leave is told at once.
            let found = converse(cluster.drains())?;
            write(cli.output, &found, drains_text)
        }
        Command::Undrain { what, from } => {
            let cluster = from.cluster()?;
            converse(cluster.undrain(what.kind.into(), &what.name))?;
            let found = converse(cluster.drains())?;
            write(cli.output, &found, drains_text)
        }
        Command::Drains(from) => {
            let found = converse(from.cluster()?.drains())?;
            write(cli.output, &found, drains_text)
        }
        Command::Estimates(Estimates::Generate { seed, days, classes, out }) => {
            let bar = progress(classes as u64, "classes");
            let jobs = generate::generate(seed, days, classes, || bar.inc(1));
            bar.finish_and_clear();
            past::write(&out, &jobs)?;
            let tasks = jobs.iter().map(|job| job.run_s.len() as u64).sum::<u64>();
            let told = [("jobs", jobs.len() as u64), ("tasks", tasks)];
            let told: std::collections::BTreeMap<_, _> = told.into_iter().collect();
            let name = out.display().to_string();
            write(cli.output, &told, |told| {
                format!("{name}: {} jobs, {} tasks\n", told["jobs"], told["tasks"])
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
                std::fs::write(&html, report::page(&figures, &source))
                    .map_err(|error| format!("{name}: {error}; --html names the page to write"))?;
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

pub fn run() -> ExitCode {
    match carry_out(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("troutspindlectl: {error}");
            ExitCode::FAILURE
        }
    }
}
