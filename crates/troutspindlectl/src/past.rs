//! A recorded history of jobs: one JSON object to a line, in order of submission.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{BufRead, Write};
use std::ops::Add;
use std::path::Path;
use troutspindle_runtime_estimates::Profile;

/// One job as it went.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PastJob {
    pub job: String,
    pub class: String,
    pub team: String,
    pub image: String,
    /// CPUs, GPUs and memory of a task, in any units that stay the same.
    pub size: [u64; 3],
    /// Seconds since the epoch.
    pub at_s: f64,
    /// The owner's estimate of a task's run time; 0 for none.
    #[serde(default)]
    pub expect_s: f64,
    /// Seconds after its submission by which it should be done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// How many of its tasks ran at once.
    pub width: u64,
    /// Seconds that each task ran to its end. Those that were stopped first ran again.
    pub run_s: Vec<f64>,
    /// Tasks that were stopped, killed or lost before they ran to their end: which, and after how long.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stopped: Vec<(usize, f64)>,
    /// It was cancelled when this share of its tasks had ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled: Option<f64>,
    /// Its inputs were unlike those of other days: told for counting only, never looked at before.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub doubled: bool,
}

impl PastJob {
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

#[derive(Debug, thiserror::Error)]
pub enum PastError {
    #[error("{0}: {1}; name a file that `troutspindlectl estimates generate` wrote")]
    File(String, std::io::Error),
    #[error("{0}, line {1}: {2}; each line is one job as JSON, see docs/estimates/operations.md")]
    Line(String, usize, serde_json::Error),
    #[error("{0}, line {1}: `{2}` {3}")]
    Field(String, usize, &'static str, &'static str),
}

/// Begin and end of tasks of these lengths on so many places, each of which takes the next task as it
/// becomes free.
pub fn on_places<T: Ord + Copy + Default + Add<Output = T>>(
    lengths: impl IntoIterator<Item = T>,
    places: usize,
) -> impl Iterator<Item = (T, T)> {
    let mut free: BinaryHeap<Reverse<T>> =
        std::iter::repeat_with(|| Reverse(T::default())).take(places).collect();
    lengths.into_iter().map(move |length| {
        let begin = free.pop().map(|Reverse(begin)| begin).unwrap_or_default();
        let end = begin + length;
        free.push(Reverse(end));
        (begin, end)
    })
}

/// What a line can't mean, by field.
fn fault(job: &PastJob, last_s: f64) -> Option<(&'static str, &'static str)> {
    let time = |s: &f64| s.is_finite() && *s >= 0.0;
    let tasks = job.run_s.len();
    if !time(&job.at_s) || job.at_s < last_s {
        return Some(("at_s", "goes back; sort the file by it"));
    }
    if tasks == 0 || !job.run_s.iter().all(time) {
        return Some(("run_s", "needs one time of 0 or more for each task"));
    }
    if job.width == 0 {
        return Some(("width", "has to be 1 or more"));
    }
    if !job.stopped.iter().all(|(task, s)| *task < tasks && time(s)) {
        return Some(("stopped", "names a task that there is not, or a time below 0"));
    }
    if !time(&job.expect_s) || !job.due_s.iter().all(time) {
        return Some(("due_s", "and `expect_s` have to be 0 or more"));
    }
    None
}

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
        if let Some((field, what)) = fault(&job, last_s) {
            return Err(PastError::Field(name, n + 1, field, what));
        }
        jobs.push(job);
    }
    Ok(jobs)
}

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
