//! Identifiers, revisions, and exact resource amounts.

use crate::constants::{ATTEMPT_BITS, FIRST_RAISED_TOKEN, MICRO, TOKENS_PER_TERM};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        // Short names are stored inline, so look-ups by name follow no pointer.
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);
        impl $name {
            /// Creates the name from its text.
            pub fn new(text: &str) -> Self { $name(CompactString::from(text)) }
            /// Returns the text of the name.
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

name_type!(/// Name of a job, chosen by its user.
    JobId);
name_type!(/// Name of a rented machine, assigned by the cloud.
    MachineId);
name_type!(/// Name of a controller.
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

number_type!(/// Fencing token, which rises with each term of a leader.
    FencingToken);
number_type!(/// Revision of the store or of one key; 0 stands for "does not exist".
    Revision);
number_type!(/// Number of an attempt at a task; never reused.
    Attempt);
number_type!(/// Id of a lease in the store.
    LeaseId);

impl FencingToken {
    /// Returns the token of the leader that is elected after one with this token. Tokens in between are reserved: see
    /// [`FencingToken::raised`]. The token of the first leader of a cluster is [`TOKENS_PER_TERM`].
    pub fn of_next_leader(self) -> FencingToken {
        FencingToken((self.0.div_ceil(TOKENS_PER_TERM) + 1) * TOKENS_PER_TERM)
    }

    /// Returns whether the leader with this token may be preceded by another one.
    pub fn has_predecessor(self) -> bool {
        self.0 > TOKENS_PER_TERM
    }

    /// Returns whether commands of the leader with the token `leader` may carry this token. The tokens just above a
    /// leader's belong to other leaders, because the previous version increments the last token by one.
    pub fn is_of_leader(self, leader: FencingToken) -> bool {
        let offset = self.0.checked_sub(leader.0);
        offset.is_some_and(|n| n == 0 || (FIRST_RAISED_TOKEN..TOKENS_PER_TERM).contains(&n))
    }

    /// Returns the next higher token of the same leader; `None` if there is none left.
    pub fn raised(self, leader: FencingToken) -> Option<FencingToken> {
        let first_raised = FencingToken(leader.0 + FIRST_RAISED_TOKEN);
        let next = FencingToken(self.0 + 1).max(first_raised);
        next.is_of_leader(leader).then_some(next)
    }

    /// Returns how many times the token of the leader with the token `leader` was raised to reach this one.
    pub fn raises_since_election(self, leader: FencingToken) -> u64 {
        (self.0 + 1).saturating_sub(leader.0 + FIRST_RAISED_TOKEN)
    }

    /// Returns the token of the leader with the token `leader` for an answer to a heartbeat that shows `reported`: the
    /// lowest one that the worker accepts, or `leader` if the worker has seen another leader's token.
    pub fn for_answer(leader: FencingToken, reported: FencingToken) -> FencingToken {
        if reported.is_of_leader(leader) { reported } else { leader }
    }
}

impl Attempt {
    /// Creates the attempt number with this counter in this term. Each term has its own range of numbers, so no two
    /// leaders use the same one.
    pub fn new(token: FencingToken, counter: u64) -> Attempt {
        Attempt((token.0 << ATTEMPT_BITS) | counter)
    }

    /// Returns the fencing token of the term in which the attempt was created.
    pub fn token(self) -> FencingToken {
        FencingToken(self.0 >> ATTEMPT_BITS)
    }
}

/// Id of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the form `job/index`; returns `None` for any other text.
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

/// Amount of resources in whole millionths, so that sums accumulate no rounding error.
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
        // A value within 0.001 of a whole number of millionths is that number: the difference is rounding error.
        let scaled = value * MICRO;
        let nearest = scaled.round();
        if (scaled - nearest).abs() < 1e-3 {
            return nearest as u64;
        }
        match rounding {
            Rounding::Up => scaled.ceil() as u64,
            Rounding::Down => scaled.floor() as u64,
        }
    }
    /// Creates the resource request of a task; rounds up.
    pub fn request(cpu: f64, gpu: f64, ram: f64) -> Amount {
        Amount {
            cpu: Self::in_millionths(cpu, Rounding::Up),
            gpu: Self::in_millionths(gpu, Rounding::Up),
            ram: Self::in_millionths(ram, Rounding::Up),
        }
    }
    /// Creates the capacity of a machine or of a limit; rounds down.
    pub fn capacity(cpu: f64, gpu: f64, ram: f64) -> Amount {
        Amount {
            cpu: Self::in_millionths(cpu, Rounding::Down),
            gpu: Self::in_millionths(gpu, Rounding::Down),
            ram: Self::in_millionths(ram, Rounding::Down),
        }
    }
    /// Returns whether the amount fits into the capacity in every resource.
    pub fn fits(&self, capacity: &Amount) -> bool {
        self.cpu <= capacity.cpu && self.gpu <= capacity.gpu && self.ram <= capacity.ram
    }
    /// Returns the sum, saturating in each resource.
    pub fn plus(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.saturating_add(other.cpu),
            gpu: self.gpu.saturating_add(other.gpu),
            ram: self.ram.saturating_add(other.ram),
        }
    }
    /// Returns the difference, 0 in each resource where it would be negative.
    pub fn minus(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
            ram: self.ram.saturating_sub(other.ram),
        }
    }
    /// Returns the amount multiplied by `n`, saturating in each resource.
    pub fn times(&self, n: u64) -> Amount {
        Amount {
            cpu: self.cpu.saturating_mul(n),
            gpu: self.gpu.saturating_mul(n),
            ram: self.ram.saturating_mul(n),
        }
    }
    /// Returns the minimum of both amounts in each resource.
    pub fn min(&self, other: &Amount) -> Amount {
        Amount {
            cpu: self.cpu.min(other.cpu),
            gpu: self.gpu.min(other.gpu),
            ram: self.ram.min(other.ram),
        }
    }
    /// Returns whether the amount is zero in every resource.
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
            /// Creates the identifier of the entry at this position.
            pub const fn new(index: usize) -> Self { $name(index) }
            /// Returns the position of the entry in its list.
            pub const fn index(self) -> usize { self.0 }
        }
    };
}

index_type!(/// Identifies a zone by its position in the list of zones in the settings.
    ZoneId);
index_type!(/// Identifies a team by its position in the list of teams in the settings.
    TeamId);
index_type!(/// Identifies a machine type by its position in the cloud's list of types.
    MachineTypeId);

#[cfg(test)]
mod tests;
