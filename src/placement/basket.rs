//! Classification of tasks into the light and the heavy basket.

use crate::ids::Amount;

/// Part of the fleet that a machine belongs to while tasks run on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Basket {
    /// Tasks that share a machine with many others.
    Light,
    /// Tasks that take most of a machine.
    Heavy,
}

impl Basket {
    /// Returns the basket of a task that needs `resources`. A task with GPUs is heavy if it needs
    /// all GPUs of the machine size with the most GPUs. A task without GPUs is heavy if it needs more
    /// than the share `heavy_threshold` of the largest machine's CPUs or memory.
    pub fn classify(resources: &Amount, machine_sizes: &[Amount], heavy_threshold: f64) -> Basket {
        let largest =
            |field: fn(&Amount) -> u64| machine_sizes.iter().map(field).max().unwrap_or(0);
        let is_heavy = if resources.gpu > 0 {
            let gpus = largest(|size| size.gpu);
            gpus > 0 && resources.gpu >= gpus
        } else {
            let exceeds =
                |required: u64, largest: u64| required as f64 > largest as f64 * heavy_threshold;
            exceeds(resources.cpu, largest(|size| size.cpu))
                || exceeds(resources.ram, largest(|size| size.ram))
        };
        if is_heavy { Basket::Heavy } else { Basket::Light }
    }
}
