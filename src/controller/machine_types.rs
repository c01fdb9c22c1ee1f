//! Catalogue of machine types in the store.

use super::Controller;
use crate::ids::Revision;
use crate::schema::{encoding, keys};
use crate::store::{
    MACHINE_TYPE_PREFIX, MACHINE_TYPES_KEY, PendingWrite, Versioned, WriteOrigin, WritePriority,
};
use crate::wire::{self, MachineType, Precondition, StoreValue, Transaction, Write};

impl Controller {
    /// Stores the machine types that the cloud offers, so that a controller started during a cloud outage can validate
    /// submissions. Entries are never removed, since records refer to them.
    pub(super) fn on_machine_types(&mut self, offered: Vec<MachineType>) {
        let Versioned { value: known, revision } = self.store.cache.machine_types.clone();
        let mut all = known.clone();
        wire::merge_machine_types(&mut all, offered);
        // Only a leader adds to the catalogue; while it is empty, any controller may write it.
        if all == known || !(self.scheduler.is_some() || known.is_empty()) {
            return;
        }
        let layout = self.store.layout();
        if !layout.is_second() || layout.fits(&all) {
            self.store_machine_types(MACHINE_TYPES_KEY.into(), encoding::to_value(&all), revision);
            return;
        }
        for machine_type in all.iter().filter(|machine_type| !known.contains(machine_type)) {
            // Names may contain any characters but keys may not, so the key contains a hash of the name.
            let key = format!("{MACHINE_TYPE_PREFIX}{}", keys::key_hash(&machine_type.name));
            let revision =
                self.store.cache.machine_type_key_revisions.get(&key).copied().unwrap_or_default();
            self.store_machine_types(key, encoding::to_value(machine_type), revision);
        }
    }

    fn store_machine_types(&mut self, key: String, data: StoreValue, revision: Revision) {
        let origin = WriteOrigin::MachineTypes(key.clone());
        if self.store.is_pending(&origin) {
            return;
        }
        let preconditions = vec![Precondition { key: key.clone(), rev: revision }];
        let transaction =
            Transaction { preconditions, writes: vec![Write::Put { key, data, lease: None }] };
        self.store.enqueue(PendingWrite {
            priority: WritePriority::Background,
            origin,
            transaction,
        });
    }
}
