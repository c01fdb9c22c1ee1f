//! Processor time, memory and descriptors of processes, read from `/proc`.

use crate::constants::CLOCK_TICKS;
use serde::{Deserialize, Serialize};

/// Resource usage of a process at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Seconds of processor time since the start of the process.
    pub cpu_s: f64,
    /// Peak of the resident memory so far, in megabytes.
    pub memory_mb: f64,
    /// Number of open descriptors, nearly all of which are sockets.
    pub descriptors: u64,
}

/// Samples a process; returns `None` if it does not exist.
pub fn sample(process: u32) -> Option<Sample> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The process name in brackets may contain spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    let cpu_s = (ticks(11)? + ticks(12)?) / CLOCK_TICKS;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kb = peak.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count() as u64;
    Some(Sample { cpu_s, memory_mb: peak_kb.unwrap_or(0.0) / 1024.0, descriptors })
}

/// Returns the soft limit of open files of this process; 1024 if it cannot be read.
pub fn descriptor_limit() -> u64 {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find(|line| line.starts_with("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().nth(3)?.parse().ok());
    soft.unwrap_or(1024)
}

/// Returns the machine's memory in megabytes; 0 if it cannot be read.
pub fn memory_mb() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kb = line.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

/// Resource usage of a process over the measured period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Mean share of a core.
    pub cpu_mean: f64,
    /// Share of a core between the two samples with the highest use.
    pub cpu_peak: f64,
    /// Peak of the resident memory, in megabytes.
    pub memory_mb: f64,
    /// Mean number of open descriptors.
    pub descriptors_mean: f64,
    /// Maximum number of open descriptors.
    pub descriptors_peak: u64,
}

/// Accumulates samples of one process. After a restart it continues with the new process.
#[derive(Debug, Default)]
pub struct Meter {
    /// Process id, processor seconds and time in seconds of the last sample.
    last: Option<(u32, f64, f64)>,
    cpu_s: f64,
    seconds: f64,
    usage: Usage,
    descriptors: f64,
    samples: f64,
}

impl Meter {
    /// Records a sample that was taken at `at_s` seconds of the run.
    pub fn record(&mut self, process: u32, sample: &Sample, at_s: f64) {
        if let Some((last_process, cpu_s, last_at_s)) = self.last
            && last_process == process
        {
            let passed = (at_s - last_at_s).max(1e-3);
            let used = sample.cpu_s - cpu_s;
            self.cpu_s += used;
            self.seconds += passed;
            self.usage.cpu_peak = self.usage.cpu_peak.max(used / passed);
        }
        self.last = Some((process, sample.cpu_s, at_s));
        self.samples += 1.0;
        self.descriptors += sample.descriptors as f64;
        self.usage.memory_mb = self.usage.memory_mb.max(sample.memory_mb);
        self.usage.descriptors_peak = self.usage.descriptors_peak.max(sample.descriptors);
    }

    /// Returns the usage over all samples.
    pub fn usage(&self) -> Usage {
        Usage {
            cpu_mean: self.cpu_s / self.seconds.max(1e-3),
            descriptors_mean: self.descriptors / f64::max(self.samples, 1.0),
            ..self.usage
        }
    }
}

#[cfg(test)]
mod tests;
