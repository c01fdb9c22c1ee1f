//! Newtypes for names, tokens and revisions, and exact amounts.

use crate::constants::{ATTEMPT_BITS, MICRO};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        // Stored inline: look-ups by name follow no pointer.
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);
        impl $name {
            /// The name as its text.
            pub fn new(text: &str) -> Self { $name(CompactString::from(text)) }
            /// Its text.
            pub fn as_str(&self) -> &str { &self.0 }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result { f.write_str(&self.0) }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result { f.write_str(&self.0) }
        }
    };
}

name_type!(/// A job, as its user named it.
    JobId);
name_type!(/// A rented machine, as the cloud named it.
    MachineId);
name_type!(/// A controller.
    ControllerId);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result { self.0.fmt(f) }
        }
    };
}

number_type!(/// The fencing token: rises with each leadership.
    FencingToken);
number_type!(/// A revision of the state service; 0 stands for "does not exist".
    Revision);
number_type!(/// An attempt at a task; never used twice.
    Attempt);
number_type!(/// A lease at the state service.
    LeaseId);

impl Attempt {
    /// Attempts of one leadership lie in a range of their own, so no two leaders share one.
    pub fn new(token: FencingToken, counter: u64) -> Attempt {
        Attempt((token.0 << ATTEMPT_BITS) | counter)
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which of its tasks, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `job/index`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId { job: JobId::new(job), index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// An amount of a machine's resources in whole millionths, so that sums never drift.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Amount {
    /// CPUs, in millionths.
    pub cpu: u64,
    /// GPUs, in millionths.
    pub gpu: u64,
    /// Memory, in millionths of a GB.
    pub ram: u64,
}

enum Rounding {
    Up,
    Down,
}

impl Amount {
    fn in_millionths(value: f64, rounding: Rounding) -> u64 {
        // A value that is a whole number of millionths but for rounding stays that number.
        let scaled = value * MICRO;
        let near = scaled.round();
        if (scaled - near).abs() < 1e-3 {
            return near as u64;
        }
        match rounding {
            Rounding::Up => scaled.ceil() as u64,
            Rounding::Down => scaled.floor() as u64,
        }
    }
    /// What a task takes: rounded up.
    pub fn need(cpu: f64, gpu: f64, ram: f64) -> Amount {
        Amount {
            cpu: Self::in_millionths(cpu, Rounding::Up),
            gpu: Self::in_millionths(gpu, Rounding::Up),
            ram: Self::in_millionths(ram, Rounding::Up),
        }
    }
    /// What a machine or a limit offers: rounded down.
    pub fn room(cpu: f64, gpu: f64, ram: f64) -> Amount {
        Amount {
            cpu: Self::in_millionths(cpu, Rounding::Down),
            gpu: Self::in_millionths(gpu, Rounding::Down),
            ram: Self::in_millionths(ram, Rounding::Down),
        }
    }
    /// Whether it fits into `room` in every resource.
    pub fn fits(&self, room: &Amount) -> bool {
        self.cpu <= room.cpu && self.gpu <= room.gpu && self.ram <= room.ram
    }
    /// The sum, saturating.
    pub fn plus(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.saturating_add(other.cpu),
            gpu: self.gpu.saturating_add(other.gpu),
            ram: self.ram.saturating_add(other.ram),
        }
    }
    /// The difference, 0 where it would be negative.
    pub fn minus(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
            ram: self.ram.saturating_sub(other.ram),
        }
    }
    /// The `n`-fold, saturating.
    pub fn times(&self, n: u64) -> Amount {
        Amount {
            cpu: self.cpu.saturating_mul(n),
            gpu: self.gpu.saturating_mul(n),
            ram: self.ram.saturating_mul(n),
        }
    }
    /// The lesser of both in each resource.
    pub fn least(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.min(other.cpu),
            gpu: self.gpu.min(other.gpu),
            ram: self.ram.min(other.ram),
        }
    }
    /// Whether it is nothing.
    pub fn is_zero(&self) -> bool {
        *self == Amount::default()
    }
}

macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(usize);
        impl $name {
            /// The identifier of the entry at this position.
            pub const fn new(index: usize) -> Self { $name(index) }
            /// The position of the entry in its list.
            pub const fn index(self) -> usize { self.0 }
        }
    };
}

index_type!(/// A zone, by its position in the list of zones in the settings.
    ZoneId);
index_type!(/// A team, by its position in the list of teams in the settings.
    TeamId);
index_type!(/// A machine type, by its position in the cloud's list of types.
    MachineTypeId);
