//! Assigns numbers to names that are compared often.

use foldhash::HashMap;
use std::sync::Arc;

/// Assigns each name a number, in the order in which names are first seen.
#[derive(Debug, Default)]
pub(super) struct Interner {
    numbers: HashMap<Arc<str>, u32>,
}

impl Interner {
    /// Returns the number of a name, assigning the next one if the name was not seen before.
    pub(super) fn intern(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.numbers.len() as u32;
        self.numbers.insert(Arc::from(name), number);
        number
    }

    pub(super) fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns the name that has this number, by a linear search.
    pub(super) fn name(&self, number: u32) -> Option<&str> {
        self.numbers.iter().find(|(_, known)| **known == number).map(|(name, _)| &**name)
    }
}
