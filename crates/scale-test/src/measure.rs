//! Processor time, memory and descriptors of processes, as the operating system tells them.

use crate::constants::CLOCK_TICKS;
use serde::{Deserialize, Serialize};

/// One look at a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Seconds of processor time since its start.
    pub cpu_s: f64,
    /// Megabytes at the peak so far.
    pub memory_mb: f64,
    /// Open descriptors, nearly all of which are sockets.
    pub descriptors: u64,
}

/// Looks at a process; None: it is gone.
pub fn sample(process: u32) -> Option<Sample> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name in brackets may hold spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    let cpu_s = (ticks(11)? + ticks(12)?) / CLOCK_TICKS;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kb = peak.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count() as u64;
    Some(Sample { cpu_s, memory_mb: peak_kb.unwrap_or(0.0) / 1024.0, descriptors })
}

/// How many files a process may open.
pub fn descriptor_limit() -> u64 {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find(|line| line.starts_with("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().nth(3)?.parse().ok());
    soft.unwrap_or(1024)
}

/// Megabytes of memory of the machine.
pub fn memory_mb() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kb = line.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

/// What a process used while it was measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Share of a core: in the mean, and in the busiest second.
    pub cpu_mean: f64,
    pub cpu_peak: f64,
    pub memory_mb: f64,
    /// Descriptors: in the mean, and at the most.
    pub descriptors_mean: f64,
    pub descriptors_peak: u64,
}

/// Adds up looks at one process; one that was restarted goes on with its next life.
#[derive(Debug, Default)]
pub struct Meter {
    last: Option<(u32, f64, f64)>,
    cpu_s: f64,
    seconds: f64,
    usage: Usage,
    descriptors: f64,
    looks: f64,
}

impl Meter {
    /// One look, at that second of the run.
    pub fn look(&mut self, process: u32, sample: &Sample, at_s: f64) {
        if let Some((same, cpu_s, then_s)) = self.last
            && same == process
        {
            let passed = (at_s - then_s).max(1e-3);
            let used = sample.cpu_s - cpu_s;
            self.cpu_s += used;
            self.seconds += passed;
            self.usage.cpu_peak = self.usage.cpu_peak.max(used / passed);
        }
        self.last = Some((process, sample.cpu_s, at_s));
        self.looks += 1.0;
        self.descriptors += sample.descriptors as f64;
        self.usage.memory_mb = self.usage.memory_mb.max(sample.memory_mb);
        self.usage.descriptors_peak = self.usage.descriptors_peak.max(sample.descriptors);
    }

    /// What it came to.
    pub fn usage(&self) -> Usage {
        Usage {
            cpu_mean: self.cpu_s / self.seconds.max(1e-3),
            descriptors_mean: self.descriptors / f64::max(self.looks, 1.0),
            ..self.usage
        }
    }
}

#[cfg(test)]
mod tests;
