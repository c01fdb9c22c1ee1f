//! Reads and writes recorded histories of jobs: one JSON object per line, in order of submission.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{BufRead, Write};
use std::ops::Add;
use std::path::Path;
use troutspindle_runtime_estimates::Profile;

/// Recorded outcome of one job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PastJob {
    pub job: String,
    pub class: String,
    pub team: String,
    pub image: String,
    /// CPUs, GPUs and memory of a task, in any units that are the same throughout the history.
    pub size: [u64; 3],
    /// Time of submission, in seconds since the epoch.
    pub at_s: f64,
    /// Owner's estimate of a task's run time in seconds; 0 if there is none.
    #[serde(default)]
    pub expect_s: f64,
    /// Due time, in seconds after submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// Number of tasks that ran at once.
    pub width: u64,
    /// Run time in seconds of each task's completed attempt. Tasks listed in `stopped` were started again.
    pub run_s: Vec<f64>,
    /// Attempts that were stopped, killed or lost before they completed: index of the task and elapsed seconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stopped: Vec<(usize, f64)>,
    /// Share of its tasks that had ended when the job was cancelled; `None` if it was not cancelled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled: Option<f64>,
    /// Whether the inputs were unlike those of other days (doubled, in generated histories). Used only to group the
    /// results; estimates never see it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub doubled: bool,
}

impl PastJob {
    /// Returns the attributes of the job that estimates are based on.
    pub fn profile(&self) -> Profile<'_> {
        Profile {
            job: &self.job,
            class: &self.class,
            team: &self.team,
            image: &self.image,
            size: self.size,
            expect_s: self.expect_s,
            tasks: self.run_s.len() as u64,
        }
    }
}

/// Failure to read or write a history file.
#[derive(Debug, thiserror::Error)]
pub enum PastError {
    #[error("{0}: {1}; give a history file such as `troutspindlectl estimates generate` writes")]
    File(String, std::io::Error),
    #[error(
        "{0}, line {1}: {2}; each line must be one job as JSON, see docs/estimates/operations.md"
    )]
    Line(String, usize, serde_json::Error),
    #[error("{0}, line {1}: `{2}` {3}")]
    Field(String, usize, &'static str, &'static str),
}

/// Returns the start and end of tasks of the given lengths that run in order on a number of slots. Each slot takes the
/// next task as soon as it is free.
pub fn schedule_on_slots<T: Ord + Copy + Default + Add<Output = T>>(
    lengths: impl IntoIterator<Item = T>,
    slots: usize,
) -> impl Iterator<Item = (T, T)> {
    let mut free_at: BinaryHeap<Reverse<T>> =
        std::iter::repeat_with(|| Reverse(T::default())).take(slots).collect();
    lengths.into_iter().map(move |length| {
        let start = free_at.pop().map(|Reverse(start)| start).unwrap_or_default();
        let end = start + length;
        free_at.push(Reverse(end));
        (start, end)
    })
}

/// Returns the first invalid field of a job and the reason, or `None` if the job is valid.
fn find_invalid_field(job: &PastJob, last_s: f64) -> Option<(&'static str, &'static str)> {
    let is_valid_time = |s: &f64| s.is_finite() && *s >= 0.0;
    let tasks = job.run_s.len();
    if !is_valid_time(&job.at_s) || job.at_s < last_s {
        return Some((
            "at_s",
            "is earlier than in the line before, or not a time of 0 or more; sort the file by it",
        ));
    }
    if tasks == 0 || !job.run_s.iter().all(is_valid_time) {
        return Some((
            "run_s",
            "must hold one time of 0 or more for each task, and at least one task",
        ));
    }
    if job.width == 0 {
        return Some(("width", "must be 1 or more"));
    }
    if !job.stopped.iter().all(|(task, s)| *task < tasks && is_valid_time(s)) {
        return Some(("stopped", "names a task that does not exist, or a time below 0"));
    }
    if !is_valid_time(&job.expect_s) || !job.due_s.iter().all(is_valid_time) {
        return Some(("due_s", "and `expect_s` must be 0 or more"));
    }
    None
}

/// Reads a history and checks each line.
///
/// # Errors
/// The file cannot be read, or a line is not a valid job.
pub fn read(path: &Path) -> Result<Vec<PastJob>, PastError> {
    let name = path.display().to_string();
    let file = std::fs::File::open(path).map_err(|error| PastError::File(name.clone(), error))?;
    let mut jobs: Vec<PastJob> = Vec::new();
    for (n, line) in std::io::BufReader::new(file).lines().enumerate() {
        let line = line.map_err(|error| PastError::File(name.clone(), error))?;
        if line.trim().is_empty() {
            continue;
        }
        let job: PastJob = serde_json::from_str(&line)
            .map_err(|error| PastError::Line(name.clone(), n + 1, error))?;
        let last_s = jobs.last().map_or(0.0, |last| last.at_s);
        if let Some((field, reason)) = find_invalid_field(&job, last_s) {
            return Err(PastError::Field(name, n + 1, field, reason));
        }
        jobs.push(job);
    }
    Ok(jobs)
}

/// Writes a history, one job per line.
///
/// # Errors
/// The file cannot be written.
pub fn write(path: &Path, jobs: &[PastJob]) -> Result<(), PastError> {
    let name = path.display().to_string();
    let failed = |error| PastError::File(name.clone(), error);
    let mut file = std::io::BufWriter::new(std::fs::File::create(path).map_err(failed)?);
    for job in jobs {
        let line = serde_json::to_string(job).map_err(|error| failed(error.into()))?;
        writeln!(file, "{line}").map_err(failed)?;
    }
    file.flush().map_err(failed)
}
