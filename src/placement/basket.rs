//! The two baskets, and which of them a task belongs to.

use crate::ids::Amount;

/// The part of the fleet that a machine is assigned to while tasks run on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Basket {
    /// Tasks that share a machine with many others.
    Light,
    /// Tasks that take most of a machine.
    Heavy,
}

impl Basket {
    /// The basket of a task that needs `resources`: heavy if it takes all GPUs of the machine size
    /// with most GPUs, or more than `heavy_threshold` of the largest machine's CPUs or memory.
    pub fn classify(resources: &Amount, machine_sizes: &[Amount], heavy_threshold: f64) -> Basket {
        let largest =
            |field: fn(&Amount) -> u64| machine_sizes.iter().map(field).max().unwrap_or(0);
        let is_heavy = if resources.gpu > 0 {
            let gpus = largest(|size| size.gpu);
            gpus > 0 && resources.gpu >= gpus
        } else {
            let exceeds = |part: u64, whole: u64| part as f64 > whole as f64 * heavy_threshold;
            exceeds(resources.cpu, largest(|size| size.cpu))
                || exceeds(resources.ram, largest(|size| size.ram))
        };
        if is_heavy { Basket::Heavy } else { Basket::Light }
    }
}
