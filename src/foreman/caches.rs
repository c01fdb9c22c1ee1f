//! What images machines have, handed on to the next leader by way of the store.

use super::*;
use crate::images;

impl Foreman {
    /// Writes down what is known of one bucket's machines, after all else and one at a time.
    pub(super) fn store_images(&mut self, state: &mut StateCore, now: Instant) {
        if now < self.images_at || state.has_item(&Origin::Images) || state.is_behind() {
            return;
        }
        self.images_at = now + IMAGES_EVERY;
        let up = self.machines.values().filter(|machine| machine.life == Life::Up);
        let known = up.map(|machine| (&machine.id, machine.images.as_slice()));
        let kept = |n: u8| state.cache.images.get(&n).map(|(record, _)| record);
        let Some((n, record)) = images::stalest(known, kept, &state.layout()) else { return };
        let key = images::key(n);
        let rev = state.cache.images.get(&n).map(|(_, rev)| *rev).unwrap_or_default();
        let guards = vec![Guard { key: key.clone(), rev }, self.leader_guard()];
        let writes = vec![Write::Put { key, data: crate::records::data(&record), hold: None }];
        let change = jobs::Change { guards, writes };
        state.push(Item { rank: Rank::Rest, origin: Origin::Images, change });
    }
}
