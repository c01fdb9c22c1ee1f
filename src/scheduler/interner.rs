//! Numbers for names that are compared often.

use foldhash::HashMap;
use std::sync::Arc;

/// Gives each name a number, in the order in which names are first seen.
#[derive(Debug, Default)]
pub(super) struct Interner {
    numbers: HashMap<Arc<str>, u32>,
}

impl Interner {
    /// The number of a name, a new one if it was not seen before.
    pub(super) fn intern(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.numbers.len() as u32;
        self.numbers.insert(Arc::from(name), number);
        number
    }

    /// The number of a name that was seen before.
    pub(super) fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The name that has this number.
    pub(super) fn name(&self, number: u32) -> Option<&str> {
        self.numbers.iter().find(|(_, known)| **known == number).map(|(name, _)| &**name)
    }
}
