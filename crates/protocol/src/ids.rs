//! Newtypes for names, tokens and revisions, and exact amounts.

use crate::constants::{ATTEMPT_BITS, MICRO};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        // Names of the usual length lie where they are used: among thousands of tasks most of a look-up by name
        // was following pointers to them.
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);
        impl $name {
            pub fn new(text: &str) -> Self { $name(CompactString::from(text)) }
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
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
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
    pub cpu: u64,
    pub gpu: u64,
    pub ram: u64,
}

impl Amount {
    fn micro(value: f64, up: bool) -> u64 {
        // A value that is a whole number of millionths but for rounding stays that number.
        let scaled = value * MICRO;
        let near = scaled.round();
        if (scaled - near).abs() < 1e-3 {
            near as u64
        } else if up {
            scaled.ceil() as u64
        } else {
            scaled.floor() as u64
        }
    }
    /// What a task takes: rounded up.
    pub fn need(cpu: f64, gpu: f64, ram: f64) -> Amount {
        Amount {
            cpu: Self::micro(cpu, true),
            gpu: Self::micro(gpu, true),
            ram: Self::micro(ram, true),
        }
    }
    /// What a machine or a limit offers: rounded down.
    pub fn room(cpu: f64, gpu: f64, ram: f64) -> Amount {
        Amount {
            cpu: Self::micro(cpu, false),
            gpu: Self::micro(gpu, false),
            ram: Self::micro(ram, false),
        }
    }
    pub fn fits(&self, room: &Amount) -> bool {
        self.cpu <= room.cpu && self.gpu <= room.gpu && self.ram <= room.ram
    }
    pub fn plus(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.saturating_add(other.cpu),
            gpu: self.gpu.saturating_add(other.gpu),
            ram: self.ram.saturating_add(other.ram),
        }
    }
    pub fn minus(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
            ram: self.ram.saturating_sub(other.ram),
        }
    }
    pub fn times(&self, n: u64) -> Amount {
        Amount {
            cpu: self.cpu.saturating_mul(n),
            gpu: self.gpu.saturating_mul(n),
            ram: self.ram.saturating_mul(n),
        }
    }
    pub fn least(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.min(other.cpu),
            gpu: self.gpu.min(other.gpu),
            ram: self.ram.min(other.ram),
        }
    }
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
