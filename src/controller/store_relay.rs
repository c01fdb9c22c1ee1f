//! Messages between peers through the store, used while the direct connection is down.

use super::Controller;
use crate::ids::ControllerId;
use crate::leadership::delegation::PEER_UNREACHABLE_AFTER;
use crate::peers::mesh::{self, PeerMessage};
use crate::peers::message_route::MessageRoute;
use crate::store::{PendingWrite, RELAY_PREFIX, RelayedMessage, WriteOrigin, WritePriority};
use crate::wire::{Precondition, StoreValue, Transaction, Write};
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two status messages through the store.
const STORE_RELAY_INTERVAL: Duration = Duration::from_secs(3);
/// Part number of a message that is written as a single value. Chunked messages use part numbers from 1 on.
const WHOLE_MESSAGE: usize = 0;
/// Part number of the first transaction with chunks of a message.
const FIRST_CHUNKS: usize = 1;

/// A key of the store and the text to write to it.
struct RelayedText {
    key: String,
    text: String,
}

impl Controller {
    /// Sends a follower's status to an unreachable leader through the store, to request a delegated lease.
    pub(super) fn relay_status(&mut self, status: &PeerMessage, now: Instant) {
        let Some(leader) = &self.store.cache.leader else { return };
        let leader = leader.value.controller.clone();
        let last_heard = self.peers.last_heard(&leader).unwrap_or(self.started_at);
        if leader == *self.name()
            || now < self.schedule.store_relay_at
            || now.saturating_duration_since(last_heard) < PEER_UNREACHABLE_AFTER
            || self.store.is_unavailable(now)
        {
            return;
        }
        self.schedule.store_relay_at = now + STORE_RELAY_INTERVAL;
        self.send_by_store(&leader, status);
    }

    /// Writes a message for a peer to the store, in chunks if it is too large for one value.
    pub(super) fn send_by_store(&mut self, to: &ControllerId, message: &PeerMessage) {
        let Ok(text) = mesh::encode_text(message) else { return };
        let layout = self.store.layout();
        let key = format!("{RELAY_PREFIX}{}/{to}", self.name());
        let is_pending = |part| self.store.is_pending(&WriteOrigin::Relay(to.clone(), part));
        if layout.fits(&text) {
            if !is_pending(WHOLE_MESSAGE) {
                self.write_relayed_texts(to, WHOLE_MESSAGE, &[RelayedText { key, text }]);
            }
            return;
        }
        // Older versions don't understand chunks.
        if !layout.is_second() || is_pending(FIRST_CHUNKS) {
            return;
        }
        // Each message gets its own number. Otherwise the chunks of two grants could be combined, and a peer could
        // acknowledge a revocation that is missing from its list.
        let seq = self.peer_requests.next_seq();
        let chunks = mesh::split_into_chunks(&text, seq, layout.value_max).into_iter().enumerate();
        let texts: Vec<RelayedText> =
            chunks.map(|(n, text)| RelayedText { key: format!("{key}/{n}"), text }).collect();
        for (n, texts) in texts.chunks(layout.max_operations).enumerate() {
            self.write_relayed_texts(to, FIRST_CHUNKS + n, texts);
        }
    }

    fn write_relayed_texts(&mut self, to: &ControllerId, part: usize, texts: &[RelayedText]) {
        let relays = &self.store.cache.relay_key_revisions;
        let precondition = |text: &RelayedText| Precondition {
            key: text.key.clone(),
            rev: relays.get(&text.key).copied().unwrap_or_default(),
        };
        let write = |text: &RelayedText| Write::Put {
            key: text.key.clone(),
            data: StoreValue::Text(text.text.clone()),
            lease: None,
        };
        let transaction = Transaction {
            preconditions: texts.iter().map(precondition).collect(),
            writes: texts.iter().map(write).collect(),
        };
        let origin = WriteOrigin::Relay(to.clone(), part);
        self.store.enqueue(PendingWrite { priority: WritePriority::Blocking, origin, transaction });
    }

    /// Handles the messages that the cache has received through the store.
    pub(super) fn receive_relayed_messages(&mut self, now: Instant) {
        for RelayedMessage { route, text } in std::mem::take(&mut self.store.cache.relayed_messages)
        {
            let Some((from, to)) = route.split_once('/') else { continue };
            let (to, is_chunk) = to.split_once('/').map_or((to, false), |(to, _)| (to, true));
            if to != self.name().as_str() {
                continue;
            }
            let complete_text = if is_chunk {
                self.chunks.entry(ControllerId::new(from)).or_default().push(&text)
            } else {
                Some(text)
            };
            if let Some(message) = complete_text.and_then(|text| mesh::decode_text(&text).ok()) {
                self.on_peer_message(message, MessageRoute::Store, now);
            }
        }
    }
}
