//! The catalogue of machine types, kept at the store.

use super::Controller;
use crate::ids::Revision;
use crate::jobs;
use crate::store::records;
use crate::store::{FLAVOR_PREFIX, FLAVORS_KEY, Item, Origin, Rank};
use crate::wire::{self, Data, MachineType, Precondition, Write};

impl Controller {
    /// Stores machine types that the cloud has shown, so that a controller started while the cloud is out can still
    /// judge submissions. The catalogue only grows, since records refer to it.
    pub(super) fn on_machine_types(&mut self, found: Vec<MachineType>) {
        let (known, revision) = self.state.cache.flavors.clone();
        let mut all = known.clone();
        wire::merge(&mut all, found);
        // Only a leader writes it, or whoever finds none there yet.
        if all == known || !(self.scheduler.is_some() || known.is_empty()) {
            return;
        }
        let layout = self.state.layout();
        if !layout.second() || layout.fits(&all) {
            self.store_machine_types(FLAVORS_KEY.into(), records::data(&all), revision);
            return;
        }
        for machine_type in all.iter().filter(|machine_type| !known.contains(machine_type)) {
            // Names may be of any text, keys may not.
            let key = format!("{FLAVOR_PREFIX}{}", records::tag(&machine_type.name));
            let revision = self.state.cache.flavor_keys.get(&key).copied().unwrap_or_default();
            self.store_machine_types(key, records::data(machine_type), revision);
        }
    }

    fn store_machine_types(&mut self, key: String, data: Data, revision: Revision) {
        let origin = Origin::MachineTypes(key.clone());
        if self.state.has_item(&origin) {
            return;
        }
        let guards = vec![Precondition { key: key.clone(), rev: revision }];
        let change = jobs::Change { guards, writes: vec![Write::Put { key, data, hold: None }] };
        self.state.push(Item { rank: Rank::Rest, origin, change });
    }
}
